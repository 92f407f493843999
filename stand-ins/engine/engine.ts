/** Engine stand-in: several members in one process, registered in the platform's instance list. */

import { brandAs } from '../../src/core/ids';
import type { DomainId, InstanceId, ZoneId } from '../../src/core/ids';
import type { InstanceEntry } from '../../src/ports/platform';
import { callJson } from '../shared/client';
import { sleep } from '../shared/gate';
import type { Running } from '../shared/program';
import { startMember } from './member';
import type { EngineMember } from './member';

const REGISTER_RETRY_MS = 200;

/** Options of `startEngine`. */
export interface EngineOptions {
  /** Address of the platform; without one the members do not register and fetch no weights. */
  readonly platform?: string;
  readonly listenHost?: string;
  readonly members?: number;
  readonly domain?: string;
  readonly zone?: string;
  /** Instance ids are `{idPrefix}-{n}`. */
  readonly idPrefix?: string;
  readonly checksFencing?: boolean;
  /** Accelerators of each member. */
  readonly accelerators?: number;
  readonly tokenMs?: number;
  readonly maxBatch?: number;
  readonly maxQueue?: number;
  readonly weightBytes?: number;
  /** Staleness of the reported load, milliseconds. */
  readonly lagMs?: number;
  /** Time until a crashed member restarts, milliseconds. */
  readonly restartMs?: number;
  /** Interval of rank 0's heartbeat, milliseconds. */
  readonly beatMs?: number;
}

export interface EngineStandIn extends Running {
  readonly members: readonly EngineMember[];
}

interface Registration {
  readonly platform: string | undefined;
  readonly entry: InstanceEntry;
  readonly isOpen: () => boolean;
}

/** Registers an instance; retries until the platform accepts it or the engine closes. */
async function register({ platform, entry, isOpen }: Registration): Promise<void> {
  if (platform === undefined) return;
  const path = `/instances/${encodeURIComponent(entry.id)}`;
  while (isOpen()) {
    const done = await callJson({ address: platform, method: 'PUT', path, body: entry }).then(
      ({ status }) => status === 204,
      () => false,
    );
    if (done) return;
    await sleep(REGISTER_RETRY_MS);
  }
}

async function deregister(platform: string | undefined, id: InstanceId): Promise<void> {
  if (platform === undefined) return;
  const path = `/instances/${encodeURIComponent(id)}`;
  await callJson({ address: platform, method: 'DELETE', path, timeoutMs: 500 }).catch(
    () => undefined,
  );
}

/** Starts an engine of several members in this process. */
export async function startEngine({
  platform,
  listenHost = '127.0.0.1',
  members: count = 4,
  domain = 'd1',
  zone = 'z1',
  idPrefix = domain,
  checksFencing = true,
  accelerators = 8,
  tokenMs = 2,
  maxBatch = 8,
  maxQueue = 4 * maxBatch,
  weightBytes = 1e6,
  lagMs = 100,
  restartMs = 500,
  beatMs = 50,
}: EngineOptions = {}): Promise<EngineStandIn> {
  let open = true;

  const registerMember = (id: InstanceId, address: string, leaving: boolean): Promise<void> =>
    register({
      platform,
      isOpen: () => open,
      entry: {
        id,
        role: 'engine',
        address,
        zone: brandAs<ZoneId>(zone),
        domain: brandAs<DomainId>(domain),
        accelerators,
        state: leaving ? 'leaving' : 'live',
        checksFencing,
      },
    });

  const start = async (index: number): Promise<EngineMember> => {
    const id = brandAs<InstanceId>(`${idPrefix}-${index}`);
    const member: EngineMember = await startMember({
      id,
      at: { host: listenHost, port: 0 },
      ...(platform === undefined ? {} : { platform }),
      checksFencing,
      tokenMs,
      maxBatch,
      maxQueue,
      weightBytes,
      lagMs,
      restartMs,
      beatMs,
      onLeaving: (leaving) => void registerMember(id, member.address, leaving),
    });
    await registerMember(id, member.address, false);
    return member;
  };

  const members = await Promise.all(Array.from({ length: count }, (_, index) => start(index)));
  return {
    address: members[0]?.address ?? '',
    members,
    close: async () => {
      open = false;
      await Promise.all(members.map((member) => member.close()));
      await Promise.all(members.map(({ instance }) => deregister(platform, instance)));
    },
  };
}
