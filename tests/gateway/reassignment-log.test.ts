import { expect, it } from 'vitest';

import { createLogger } from '../../src/adapters/telemetry/logger';
import { logReassignments } from '../../src/app/gateway/reassignment-log';
import type { Reassignment } from '../../src/core/gateway/forming/state';
import { brandAs } from '../../src/core/ids';
import type { DomainId } from '../../src/core/ids';
import { at, LARGE, makeContext, SMALL } from './support';

// Without the reason in the log, an operator cannot tell a change by worth from the end of a faulty group.
it('a change of servers is logged once for each step, with its reason, and counted', async () => {
  const lines: string[] = [];
  const ctx = makeContext({ logger: createLogger({ write: (line) => lines.push(line) }) });
  const reassignmentsAt = (step: Reassignment['step'], until: number) => ({
    reassignments: new Map([
      [
        brandAs<DomainId>('d1'),
        {
          ...{ model: LARGE, step, until: at(until), gained: 1, loads: 3 },
          ...{ lost: new Map([[SMALL, 4]]), worth: { gain: 1.234, loss: 0.5, net: 1 } },
        },
      ],
    ]),
  });
  const demand = { load: 4, peakLoad: 6, unserved: 0.5 };
  const demands = { demand: () => new Map([[LARGE, demand]]), ageMs: () => 250 };
  const [none, staging] = [{ reassignments: new Map() }, reassignmentsAt('staging', 10)];
  logReassignments(ctx, { before: none, after: staging, demands });
  logReassignments(ctx, { before: staging, after: staging, demands });
  logReassignments(ctx, { before: staging, after: reassignmentsAt('ending', 20), demands });
  expect(lines.map((line): unknown => JSON.parse(line))).toMatchObject([
    {
      ...{ message: 'servers change model', domain: 'd1', model: LARGE, change: 'staging' },
      ...{ gained: 1, lost: 'small:4', loads: 3, gain: 1.23, loss: 0.5, worth: 1 },
      ...{ demand: 'large:4/6/0.5', ageMs: 250 },
    },
    { change: 'ending' },
  ]);
  const metrics = await ctx.metrics.render();
  expect(metrics).toContain('nutmegstack_reassignments_total{model="large",step="staging"} 1');
});
