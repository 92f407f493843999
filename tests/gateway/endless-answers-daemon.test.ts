import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import {
  ENDLESS_BODIES,
  ENDLESS_HEADS,
  ENDLESS_REJECTIONS,
  ENDLESS_STREAMS,
} from '../../stand-ins/users-platform/endless';
import { isServed, startFixture } from './gateway-fixture';
import type { GatewayFixture } from './gateway-fixture';

const FIRST_PORT = 28_000;
const PER_S = 60;
const SPOILED_PER_S = 5;
const PLAY_MS = 3_000;
const WAIT_MS = 3_000;
/** A spoiled request goes on elsewhere or is answered, long before its deadline. */
const ANSWERED_MS = 2_000;

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await startFixture({
    ...{ firstPort: FIRST_PORT, daemons: 1, plainServers: 3, waitMs: WAIT_MS },
  });
});

afterAll(() => {
  fixture.close();
});

/** Statuses of spoiled requests, by route: 503 only where the servers state that nothing ran. */
const CASES = [
  ['/safe/endless', ENDLESS_HEADS['interim heads (102)'], [502]],
  ['/stream/endless', ENDLESS_HEADS['interim heads (100)'], [502]],
  ['/unsafe/endless', ENDLESS_HEADS['empty lines before the status line'], [502]],
  ['/stream/endless', ENDLESS_STREAMS['empty lines'], [502]],
  ['/safe/endless', ENDLESS_BODIES['chunks of one byte'], [502]],
  ['/unsafe/endless', ENDLESS_REJECTIONS['a 503 without a length'], [503]],
] as const;

describe('bytes without end in the place of some answers', () => {
  // Guards against one connection that takes the event loop, so that others are closed unanswered (LOST).
  it.each(CASES)('leave all other requests served (%s, case %#)', async (path, shape, statuses) => {
    if (!shape) throw new Error('no such shape');
    fixture.platform.statements.endless.set(path, shape);
    const [plain, streams, spoiled] = await Promise.all([
      fixture.sendRequests('/safe/x', PER_S, PLAY_MS),
      fixture.sendRequests('/stream/x', PER_S, PLAY_MS),
      fixture.sendRequests(path, SPOILED_PER_S, PLAY_MS),
    ]);
    fixture.platform.statements.endless.delete(path);
    const others = [...plain, ...streams];
    expect(others.filter((sent) => !isServed(sent)).length, 'of the others').toBe(0);
    const answers = spoiled.map(({ reply }) => reply?.status);
    expect(answers.every((status) => statuses.some((each) => each === status))).toBe(true);
    const times = spoiled.map(({ sentAt, answeredAt }) => answeredAt - sentAt);
    expect(Math.max(...times)).toBeLessThan(ANSWERED_MS);
  });
});
