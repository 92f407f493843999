/** Runs the control plane against stand-ins of the platform and the engine over sockets. */

import { BehaviorSubject, NEVER } from 'rxjs';
import { afterEach, describe, expect, it } from 'vitest';

import { startEngine } from '../stand-ins/engine/engine';
import type { EngineStandIn } from '../stand-ins/engine/engine';
import type { EngineMember } from '../stand-ins/engine/member';
import { startPlatform } from '../stand-ins/platform/platform';
import type { Platform } from '../stand-ins/platform/platform';
import { createEngine } from '../src/adapters/engine';
import { createInstanceList } from '../src/adapters/platform/instances';
import { createTable } from '../src/adapters/platform/table';
import { createClock, createRandom } from '../src/adapters/runtime';
import { createControl } from '../src/app/control/control';
import type { DrivenControl } from '../src/app/control/control';
import type { Config } from '../src/core/config/types';
import type { ConfigVersion } from '../src/core/ids';
import { configOf, modelSpec } from './support/control-world';
import { createFakeHub } from './support/fake-hub';
import { until } from './support/processes';

const MEMBERS = 4;

interface Fixture {
  readonly platform: Platform;
  readonly engine: EngineStandIn;
  readonly controls: Map<string, DrivenControl>;
  readonly hub: ReturnType<typeof createFakeHub>;
  readonly config: BehaviorSubject<Config>;
  addDaemon(id: string): Promise<DrivenControl>;
}

let cleanups: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  for (const close of cleanups.reverse()) await close();
  cleanups = [];
});

const logger = { debug: noop, info: noop, warn: noop, error: noop };

function noop(): void {
  return undefined;
}

async function startFixture(instances: number, checksFencing: boolean): Promise<Fixture> {
  const platform = await startPlatform();
  const address = platform.address;
  const engine = await startEngine({ platform: address, members: instances, checksFencing });
  cleanups.push(
    () => platform.close(),
    () => engine.close(),
  );
  const hub = createFakeHub();
  const config = new BehaviorSubject<Config>(configOf(modelSpec('m')));
  const controls = new Map<string, DrivenControl>();

  const addDaemon = async (id: string): Promise<DrivenControl> => {
    const { self, gossip, peers } = hub.join(id, () => 1 as ConfigVersion);
    const enginePort = createEngine({ timeoutMs: 300 });
    const control = createControl({
      self,
      table: createTable({ address }),
      instances: createInstanceList({ address }),
      engine: enginePort,
      config: { current: () => config.value, changes: config },
      membership: { self, peers, changes: NEVER },
      gossip,
      clock: createClock(),
      random: createRandom(controls.size + 1),
      logger,
      settings: {
        tickMs: 20,
        probeMs: 100,
        probeBytesPerSecond: 1e6,
        stateMs: 100,
        pollMs: 100,
        listMs: 100,
        lease: { ttlMs: 2_000, marginMs: 200, renewMs: 400, rankDelayMs: 300 },
        domain: { unresponsiveMs: 500, confirmMs: 700, orderRetryMs: 100, restartDelayMs: 100 },
      },
    });
    cleanups.push(async () => {
      await control.stop();
      enginePort.close();
    });
    controls.set(id, control);
    await control.start();
    return control;
  };
  return { platform, engine, controls, hub, config, addDaemon };
}

function routableGroups(control: DrivenControl) {
  return control.routable('m' as never);
}

async function untilEpochServes(fixture: Fixture, epoch: number): Promise<void> {
  for (const control of fixture.controls.values()) {
    await until(
      () =>
        Promise.resolve(routableGroups(control).some((group) => group.epoch >= epoch) || undefined),
      `a group at epoch ${epoch} or later`,
    );
  }
}

function holderOf({ controls }: Fixture): [string, DrivenControl] | undefined {
  return [...controls].find(([, control]) => control.heldDomains().length > 0);
}

function memberOf({ engine }: Fixture, rank: number): EngineMember {
  const found = engine.members.find((member) => member.state().holding?.rank === rank);
  if (!found) throw new Error(`no engine member has rank ${rank}`);
  return found;
}

describe.each([true, false])('over sockets, engines that check fencing: %s', (checksFencing) => {
  it('forms a group although answers of the table and of the engines are lost', async () => {
    const fixture = await startFixture(MEMBERS, checksFencing);
    fixture.platform.faults.table.lostAnswers = 2;
    for (const { faults } of fixture.engine.members) faults.loseOrderAnswers = 1;
    await fixture.addDaemon('a');
    await fixture.addDaemon('b');
    await untilEpochServes(fixture, 1);
  });

  it('replaces a frozen member and releases it once it resumes', async () => {
    const fixture = await startFixture(MEMBERS + 1, checksFencing);
    await fixture.addDaemon('a');
    await fixture.addDaemon('b');
    await untilEpochServes(fixture, 1);
    const frozen = memberOf(fixture, 2);
    frozen.faults.frozen = true;
    await untilEpochServes(fixture, 2);
    for (const control of fixture.controls.values()) {
      const members = routableGroups(control).flatMap((group) => group.members);
      expect(members.map((member) => member.instance)).not.toContain(frozen.instance);
    }
    frozen.faults.frozen = false;
    const isFree = () => Promise.resolve(frozen.state().holding === undefined || undefined);
    await until(isFree, 'the frozen member to be released');
  });

  it('lets a crashed member rejoin with the next epoch', async () => {
    const fixture = await startFixture(MEMBERS, checksFencing);
    await fixture.addDaemon('a');
    await untilEpochServes(fixture, 1);
    const { address } = memberOf(fixture, 1);
    const body = JSON.stringify({ crash: true });
    await fetch(`http://${address}/faults`, { method: 'POST', body });
    await untilEpochServes(fixture, 2);
  });

  it('hands leases over at once when a daemon stops, without new orders', async () => {
    const fixture = await startFixture(MEMBERS, checksFencing);
    await fixture.addDaemon('a');
    await fixture.addDaemon('b');
    await untilEpochServes(fixture, 1);
    const [id, holder] = holderOf(fixture) ?? [];
    if (id === undefined || !holder) throw new Error('no daemon holds a lease');
    const orders = fixture.engine.members.map((member) => member.record.orders.length);
    fixture.controls.delete(id);
    fixture.hub.cut.add(id);
    await holder.stop();
    await until(
      () => Promise.resolve(holderOf(fixture)),
      'another daemon to hold the lease',
      1_500,
    );
    await untilEpochServes(fixture, 1);
    expect(fixture.engine.members.map((member) => member.record.orders.length)).toEqual(orders);
  });
});
