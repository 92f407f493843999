import { okAsync } from 'neverthrow';
import { BehaviorSubject } from 'rxjs';
import { describe, expect, it } from 'vitest';

import { createClock, createRandom } from '../../src/adapters/runtime';
import type { GatewayContext } from '../../src/app/gateway/context';
import { createRoster } from '../../src/app/gateway/roster';
import type { GatewaySettings, GatewayTunables } from '../../src/app/gateway/settings';
import type { BackendServer } from '../../src/core/gateway/types';
import type { Feed } from '../../src/ports/gateway';
import { createLogger } from '../../src/adapters/telemetry/logger';
import { createMetrics } from '../../src/adapters/telemetry/metrics';
import { makeServer } from './support';

const LEAVING_MS = 100;

const ctx: GatewayContext = {
  settings: {} as GatewaySettings,
  tunables: new BehaviorSubject({ leavingMs: LEAVING_MS } as GatewayTunables),
  clock: createClock(),
  random: createRandom(1),
  logger: createLogger({ write: () => undefined }),
  metrics: createMetrics({ ofProcess: false }),
};

/** A collection that changes all the time, and notes when it is asked. */
function createBusyFeed(askedAt: number[]): Feed<BackendServer> {
  let revision = 1;
  const changes = [{ key: 's1', value: makeServer('s1') }];
  return {
    name: 'servers',
    load: () => okAsync({ changes, revision }),
    poll: () => {
      askedAt.push(ctx.clock.now());
      revision += 1;
      return okAsync({ changes, revision });
    },
  };
}

describe('a daemon that does not lead', () => {
  it('looks at the servers itself inside the time that a leaving one allows, whatever it is told', async () => {
    const askedAt: number[] = [];
    const roster = createRoster(ctx, { feed: createBusyFeed(askedAt), isLeading: () => false });
    await new Promise((resolve) => setTimeout(resolve, LEAVING_MS * 8));
    roster.watch.stop();
    expect(askedAt.length).toBeGreaterThanOrEqual(4);
  });
});
