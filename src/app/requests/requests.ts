/**
 * The request plane of a daemon: answers callers' requests with a complete answer or an error that
 * states whether the request ran.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';

import { createUpstream } from '../../adapters/upstream/upstream';
import type { RequestPart } from '../parts';
import { createBackends } from './backends';
import { createClaimWriter } from './claim-writer';
import type { ClaimWriter } from './claim-writer';
import { createClaims } from './claims';
import { createRetryBudgets } from './context';
import type { RequestContext, RequestDeps } from './context';
import type { RequestParts } from './request-parts';
import type { Ending } from './ending';
import { answer, createExchange, refuseDraining } from './entry';
import type { RequestPlane } from './entry';
import type { Exchange } from './exchange';
import { createAdmissionGate } from './admission-gate';
import { createGroupSelector } from './group-selector';
import { METRIC } from './names';
import { pause } from './pause';
import { writeEnding } from './reply';
import { REQUEST_DEFAULTS } from './settings';
import { createStrikes } from './strikes';
import { createSweep } from './sweep';

export type { RequestDeps } from './context';

function createContext(deps: RequestDeps): RequestContext {
  const settings = { ...REQUEST_DEFAULTS, ...deps.settings };
  const upstream = createUpstream({ connectTimeoutMs: settings.connectTimeoutMs });
  return { ...deps, settings, upstream, retryBudgets: createRetryBudgets(settings) };
}

/** Writes the ending to the caller, and records it in metrics, trace and log. */
function finishRequest(ctx: RequestContext, exchange: Exchange, ending: Ending): void {
  const { id, res, span } = exchange;
  const outcome = writeEnding({ id, res, epoch: ctx.clock.epoch() }, ending);
  const code = ending.kind === 'failed' ? ending.error.code : 'ok';
  ctx.metrics.count(METRIC.requests, { outcome: outcome.kind, code });
  ctx.metrics.observe(METRIC.duration, ctx.clock.now() - exchange.arrivedAt);
  span.set('outcome', outcome.kind);
  span.end(ending.kind === 'failed' ? code : undefined);
  if (ending.kind === 'done') return;
  const { step, peer, message } = ending.error;
  ctx.logger.info(message, { requestId: id, step, code, ...(peer !== undefined && { peer }) });
}

/**
 * Finishes the request. If the answer cannot be written, as with a header that Node rejects, the
 * connection is destroyed, so that the caller never sees a proper end.
 */
function tryFinishRequest(ctx: RequestContext, exchange: Exchange, ending: Ending): void {
  try {
    finishRequest(ctx, exchange, ending);
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : 'unknown';
    ctx.logger.error('could not write the answer', { requestId: exchange.id, detail });
    exchange.res.destroy();
  }
}

/**
 * Resolves when the response has closed: sent completely, or the caller disconnected. Destroys it
 * after `withinMs`.
 */
function waitForClose(res: ServerResponse, withinMs: number): Promise<void> {
  if (res.closed) return Promise.resolve();
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      res.destroy();
    }, withinMs);
    res.once('close', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

function createWriter(ctx: RequestContext): ClaimWriter {
  const { table, clock, metrics, settings } = ctx;
  return createClaimWriter({
    table,
    clock,
    metrics,
    daemons: ctx.daemonCount ?? (() => 1),
    commitsPerSecond: settings.tableCommitsPerSecond,
    claimShare: settings.claimShare,
    maxBatch: settings.maxClaimBatch,
    lingerMs: settings.claimLingerMs,
    queueTimeoutMs: settings.claimTimeoutMs,
  });
}

function createParts(ctx: RequestContext, writer: ClaimWriter): RequestParts {
  return {
    backends: createBackends(ctx.clock, ctx.random),
    claims: createClaims(ctx, writer),
    gate: createAdmissionGate(ctx.clock, ctx.random),
    selector: createGroupSelector(ctx.clock, ctx.random),
    strikes: createStrikes(ctx),
  };
}

/** Creates the request plane. Omitted settings have the defaults of `settings.ts`. */
export function createRequests(deps: RequestDeps): RequestPart {
  const ctx = createContext(deps);
  const writer = createWriter(ctx);
  const parts = createParts(ctx, writer);
  const sweep = createSweep(ctx, writer);
  const plane: RequestPlane = { ctx, parts };
  let inFlight = 0;
  let isDraining = false;
  let drainResolvers: (() => void)[] = [];

  const adjustInFlight = (by: number): void => {
    inFlight += by;
    ctx.metrics.gauge(METRIC.inFlight, inFlight);
    if (inFlight > 0) return;
    drainResolvers.forEach((resolve) => {
      resolve();
    });
    drainResolvers = [];
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const exchange = createExchange(ctx, req, res);
    if (isDraining) {
      res.setHeader('connection', 'close');
      finishRequest(ctx, exchange, refuseDraining(ctx));
      return;
    }
    adjustInFlight(1);
    tryFinishRequest(ctx, exchange, await answer(plane, exchange));
    await waitForClose(res, ctx.settings.streamIdleTimeoutMs);
    adjustInFlight(-1);
  };

  return {
    handler: (req, res) => {
      void serve(req, res);
    },
    inFlight: () => inFlight,
    drain: () => {
      isDraining = true;
      return new Promise((resolve) => {
        if (inFlight === 0) resolve();
        else drainResolvers.push(resolve);
      });
    },
    start: () => {
      sweep.start();
      parts.strikes.start();
      return Promise.resolve();
    },
    stop: async () => {
      sweep.stop();
      parts.strikes.stop();
      ctx.upstream.close();
      await Promise.race([parts.claims.settled(), pause(ctx.settings.settleTimeoutMs)]);
    },
  };
}
