/** The operator's configuration of a small deployment. */

const HOST = 'a.example';
export const KEY = 'key-of-tenant-one';
export const MODEL = 'm0';

function route(name, kind, service, more = {}) {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    timeoutMs: 2000,
    targetLatencyMs: 250,
    priority: 1,
    service,
    maxAttempts: 2,
    public: false,
    ...more,
  };
}

const MODEL_SPEC = { name: MODEL, share: 1, pace: 1, loadS: 0.5, warmS: 0.5 };

/** An engine as the pages' deployments have them, with one small model. */
const ENGINE = {
  batchSize: 18,
  kvTokens: 1_710_000,
  interval: 1,
  step_ms: 6.45,
  per_seq_ms: 0.1,
  context_per_k: 0.05,
  read_per_s: 56_100,
  loadsPerS: 5.5,
  loads_at_once: 8,
  usual: { prompt: 1460, answer: 80 },
  delays: {},
  report_lag_ms: 100,
};

/** The document with a plain and a model service; `routes` override the usual ones. */
export function document({ version = 3, routes, groupSize = 2 } = {}) {
  const usual = { healthPath: '/health', maxConns: 100 };
  return {
    version,
    routes: routes ?? [
      route('lookup', 'safe', 'ledger'),
      route('booking', 'unsafe', 'ledger', { maxAttempts: 1 }),
      route('ask', 'streaming', 'llm', { resumable: true, maxGapMs: 250, sessionAffinity: true }),
    ],
    services: [
      { name: 'ledger', ...usual },
      {
        name: 'llm',
        ...usual,
        engine: { ...ENGINE, models: [{ ...MODEL_SPEC, size: groupSize }] },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'tenant-one', apiKeys: [KEY] }],
  };
}
export { HOST, route };
