/** Builds the operator's configuration document for the users' platform stand-in. */

import type { EngineSpec } from '../../src/core/gateway/types';
import { LLM_SERVICE, PLAIN_SERVICE } from './start';

export interface OperatorOrganisation {
  readonly name: string;
  readonly apiKeys: readonly string[];
}

export interface DocumentOptions {
  readonly version: number;
  readonly routes: readonly object[];
  readonly engine: EngineSpec;
  readonly organisations: readonly OperatorOrganisation[];
  /** Requests per second that a cold server of any service tolerates. */
  readonly coldPerS?: number;
}

const HOST_NAME = 'a.example';

/** A route from `/name/` to `service`. */
export function describeRoute(
  name: string,
  kind: 'safe' | 'unsafe' | 'streaming',
  service: string,
  more: object = {},
): object {
  return {
    name,
    host: HOST_NAME,
    prefix: `/${name}/`,
    kind,
    timeoutMs: 8_000,
    targetLatencyMs: 400,
    priority: 1,
    service,
    maxAttempts: 2,
    ...more,
  };
}

/** Default routes: a resumable stream, a safe and an unsafe call. */
export const DEFAULT_ROUTES: readonly object[] = [
  describeRoute('stream', 'streaming', LLM_SERVICE, { resumable: true, maxGapMs: 250 }),
  describeRoute('safe', 'safe', PLAIN_SERVICE),
  describeRoute('unsafe', 'unsafe', PLAIN_SERVICE, { maxAttempts: 1 }),
];

function describeEngine({ models, ...engine }: EngineSpec): object {
  return {
    batchSize: engine.batchSize,
    interval: engine.stepsPerPass,
    step_ms: engine.stepMs,
    per_seq_ms: engine.perRequestMs,
    context_per_k: engine.perContextKMs,
    read_per_s: engine.prefillTokensPerMs * 1000,
    loadsPerS: engine.loadsPerS,
    loads_at_once: engine.loadsAtOnce,
    usual: engine.usual,
    models: models.map(({ name, size, share, pace, loadMs, warmMs }) => ({
      name,
      size,
      share,
      pace,
      loadS: loadMs / 1000,
      warmS: warmMs / 1000,
    })),
  };
}

/** The complete document, with one LLM and one plain service. */
export function describeConfig({
  version,
  routes,
  engine,
  organisations,
  coldPerS,
}: DocumentOptions): object {
  const cold = coldPerS === undefined ? {} : { coldPerS, coldStartS: 20 };
  const usual = { healthPath: '/health', maxConns: 100, ...cold };
  return {
    version,
    routes,
    services: [
      { name: LLM_SERVICE, ...usual, engine: describeEngine(engine) },
      { name: PLAIN_SERVICE, ...usual },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: organisations.map(({ name, apiKeys }) => ({ name, apiKeys, priority: 1 })),
  };
}
