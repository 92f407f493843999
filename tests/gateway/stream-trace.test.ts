import { describe, expect, it } from 'vitest';

import { fakeTime } from './fake-time';
import { createStreamWorld, groupOf } from './stream-fixture';

fakeTime();

describe('the log lines of a stream whose server breaks the connection', () => {
  // Guards against torn streams of which nobody can tell which group they were in, who declared it lost,
  // and whether a slot, a retry or an attempt was missing.
  it.each([
    { lacked: 'slot', groups: 1, retries: 1, maxAttempts: 2 },
    { lacked: 'retry', groups: 2, retries: 0, maxAttempts: 2 },
    { lacked: 'attempt', groups: 2, retries: 1, maxAttempts: 1 },
  ])('tell its group, the finding and the missing $lacked', async ({ lacked, ...options }) => {
    const { groups, retries, maxAttempts } = options;
    const world = createStreamWorld({ groups, retries, route: { maxAttempts } });
    await world.request('request-7');
    const run = world.runs[0];
    if (!run) throw new Error('nothing sent');
    run.send(0, 1);
    await world.pass(100);
    world.registry.suspect(groupOf(run.head), 'lost', 'found by leader-1');
    run.close();
    await world.pass(25_000);
    const linesOf = (message: string) =>
      world.lines().filter((line) => line.message === message && line.requestId === 'request-7');
    const trace = {
      ...{ group: groupOf(run.head), evidence: 'lost', finding: 'found by leader-1' },
      ...{ eventAgeMs: 100, groupEventAgeMs: 100, server: run.head },
    };
    expect(linesOf('attempt failed')).toMatchObject([trace]);
    expect(linesOf('request ended')).toMatchObject([{ ...trace, lacked, outcome: 'torn' }]);
    const metrics = await world.ctx.metrics.render();
    expect(metrics).toContain('nutmegstack_failed_attempts_total{ended="lost",evidence="lost"} 1');
    expect(metrics).toContain(`nutmegstack_streams_not_resumed_total{lacked="${lacked}"} 1`);
  });
});
