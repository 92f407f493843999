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

interface Running {
  readonly platform: Platform;
  readonly engine: EngineStandIn;
  readonly controls: Map<string, DrivenControl>;
  readonly hub: ReturnType<typeof createFakeHub>;
  readonly config: BehaviorSubject<Config>;
  addDaemon(id: string): Promise<DrivenControl>;
}

let closing: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  for (const close of closing.reverse()) await close();
  closing = [];
});

const logger = { debug: nothing, info: nothing, warn: nothing, error: nothing };

function nothing(): void {
  return undefined;
}

async function start(instances: number, checksFencing: boolean): Promise<Running> {
  const platform = await startPlatform();
  const address = platform.address;
  const engine = await startEngine({ platform: address, members: instances, checksFencing });
  closing.push(
    () => platform.close(),
    () => engine.close(),
  );
  const hub = createFakeHub();
  const config = new BehaviorSubject<Config>(configOf(modelSpec('m')));
  const controls = new Map<string, DrivenControl>();

  const addDaemon = async (id: string): Promise<DrivenControl> => {
    const { self, gossip, peers } = hub.join(id, () => 1 as ConfigVersion);
    const port = createEngine({ timeoutMs: 300 });
    const control = createControl({
      self,
      table: createTable({ address }),
      instances: createInstanceList({ address }),
      engine: port,
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
    closing.push(async () => {
      await control.stop();
      port.close();
    });
    controls.set(id, control);
    await control.start();
    return control;
  };
  return { platform, engine, controls, hub, config, addDaemon };
}

function groupsOn(control: DrivenControl) {
  return control.routable('m' as never);
}

async function serving(running: Running, epoch: number): Promise<void> {
  for (const control of running.controls.values()) {
    await until(
      () => Promise.resolve(groupsOn(control).some((one) => one.epoch >= epoch) || undefined),
      `a group at epoch ${epoch}`,
    );
  }
}

function holderOf({ controls }: Running): [string, DrivenControl] | undefined {
  return [...controls].find(([, control]) => control.heldDomains().length > 0);
}

function memberOf({ engine }: Running, rank: number): EngineMember {
  const found = engine.members.find((member) => member.state().holding?.rank === rank);
  if (!found) throw new Error(`no member of rank ${rank}`);
  return found;
}

describe.each([true, false])('over sockets, engines that check fencing: %s', (checksFencing) => {
  it('a group forms though answers of the table and of the engines are lost', async () => {
    const running = await start(MEMBERS, checksFencing);
    running.platform.faults.table.lostAnswers = 2;
    for (const { faults } of running.engine.members) faults.loseOrderAnswers = 1;
    await running.addDaemon('a');
    await running.addDaemon('b');
    await serving(running, 1);
  });

  it('a member that freezes is replaced, and released once it goes on', async () => {
    const running = await start(MEMBERS + 1, checksFencing);
    await running.addDaemon('a');
    await running.addDaemon('b');
    await serving(running, 1);
    const frozen = memberOf(running, 2);
    frozen.faults.frozen = true;
    await serving(running, 2);
    for (const control of running.controls.values()) {
      const members = groupsOn(control).flatMap((group) => group.members);
      expect(members.map((member) => member.instance)).not.toContain(frozen.instance);
    }
    frozen.faults.frozen = false;
    const isFree = () => Promise.resolve(frozen.state().holding === undefined || undefined);
    await until(isFree, 'the frozen member to be released');
  });

  it('a member that crashes joins again with the next epoch', async () => {
    const running = await start(MEMBERS, checksFencing);
    await running.addDaemon('a');
    await serving(running, 1);
    const { address } = memberOf(running, 1);
    const body = JSON.stringify({ crash: true });
    await fetch(`http://${address}/faults`, { method: 'POST', body });
    await serving(running, 2);
  });

  it('the next daemon takes over at once from one that stops, and nothing is ordered', async () => {
    const running = await start(MEMBERS, checksFencing);
    await running.addDaemon('a');
    await running.addDaemon('b');
    await serving(running, 1);
    const [id, holder] = holderOf(running) ?? [];
    if (id === undefined || !holder) throw new Error('no holder');
    const orders = running.engine.members.map((member) => member.record.orders.length);
    running.controls.delete(id);
    running.hub.cut.add(id);
    await holder.stop();
    await until(() => Promise.resolve(holderOf(running)), 'the next holder', 1_500);
    await serving(running, 1);
    expect(running.engine.members.map((member) => member.record.orders.length)).toEqual(orders);
  });
});
