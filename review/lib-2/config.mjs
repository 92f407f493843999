// The operator's configuration document of a small deployment.
export const HOST = 'a.example';
export const KEY = 'key-of-tenant-a';
export const MODEL = 'm0';
export const MODELS = [{ name: MODEL, size: 2, pace: 1, share: 1, loadS: 12, warmS: 1.1 }];

export function routeOf(name, kind, service, more = {}) {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    timeoutMs: 8000,
    targetLatencyMs: 400,
    priority: 1,
    service,
    maxAttempts: 2,
    ...more,
  };
}

export function documentOf({ version, routes, models = MODELS }) {
  const usual = { healthPath: '/health', maxConns: 400 };
  const engine = {
    batchSize: 18,
    interval: 6,
    step_ms: 6.45,
    per_seq_ms: 0.1,
    context_per_k: 0.1,
    read_per_s: 56100,
    loadsPerS: 4,
    loads_at_once: 4,
    usual: { prompt: 700, answer: 180 },
    models,
  };
  return {
    version,
    routes,
    services: [
      { name: 'llm', ...usual, engine },
      { name: 'ledger', ...usual },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 262144,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [{ name: 'tenant-a', apiKeys: [KEY], priority: 1 }],
  };
}
