/** In-memory fakes of the daemon parts that the administration API uses. */

import { errAsync, okAsync } from 'neverthrow';
import { BehaviorSubject, EMPTY, Subject } from 'rxjs';

import type { AdminDeps } from '../../src/app/admin/admin';
import type { AcceptedConfig, ConfigPart, DirectMessage } from '../../src/app/parts';
import { checkDocument } from '../../src/core/config/check';
import { resolve } from '../../src/core/config/resolve';
import { EMPTY_CONFIG } from '../../src/core/config/types';
import type { Config } from '../../src/core/config/types';
import { brandAs } from '../../src/core/ids';
import type { ConfigVersion, DaemonId, ZoneId } from '../../src/core/ids';
import type { Json } from '../../src/core/json';
import { fail } from '../../src/utils/errors';

const step = 'config-submit';

/** A configuration part in memory; `beforeSubmit` runs before each submit, to simulate conflicts. */
export function fakeConfig(first: Json, beforeSubmit: () => void = () => undefined): ConfigPart {
  const accepted: AcceptedConfig[] = [];
  const changes = new BehaviorSubject<Config>(EMPTY_CONFIG);
  const accept = (document: Json): AcceptedConfig => {
    const version = brandAs<ConfigVersion>(accepted.length + 1);
    accepted.push({ version, document });
    const checked = checkDocument(document);
    if (checked.isErr()) throw new Error(checked.error.map(({ path }) => path).join());
    changes.next(resolve(checked.value, version));
    return { version, document };
  };
  accept(first);
  return {
    current: () => changes.value,
    changes,
    submit: ({ ifVersion, document }) => {
      beforeSubmit();
      if (ifVersion === undefined)
        return errAsync(fail('precondition-required', 'no version was given', { step }));
      if (ifVersion !== accepted.length)
        return errAsync(fail('conflict', 'a newer version exists', { step }));
      return okAsync(accept(document));
    },
    read: (version = brandAs<ConfigVersion>(accepted.length)) => {
      const found = accepted[version - 1];
      return found ? okAsync(found) : errAsync(fail('not-found', 'no such version', { step }));
    },
    versions: () => okAsync(accepted.map(({ version }) => version)),
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
  };
}

export interface FakeParts {
  readonly deps: AdminDeps;
  readonly direct: Subject<DirectMessage>;
  /** Calls of other parts, in order. */
  readonly calls: string[];
}

export function fakeParts(config: ConfigPart): FakeParts {
  const asked: string[] = [];
  const direct = new Subject<DirectMessage>();
  const part = { start: () => Promise.resolve(), stop: () => Promise.resolve() };
  const self = brandAs<DaemonId>('e1');
  const peer = (id: DaemonId) => ({
    id,
    address: '127.0.0.1:1',
    zone: brandAs<ZoneId>('rennes'),
    state: 'alive' as const,
    configVersion: config.current().version,
  });
  const noop = (): void => undefined;
  const deps: AdminDeps = {
    config,
    logger: { debug: noop, info: noop, warn: noop, error: noop },
    control: {
      ...part,
      routable: () => [],
      expectedAt: () => undefined,
      report: noop,
      lost: EMPTY,
      drainInstance: (instance) => {
        asked.push(`instance ${instance}`);
        return okAsync(undefined);
      },
      status: () => ({ groups: [] }),
    },
    membership: {
      ...part,
      self,
      peers: () => [peer(self), peer(brandAs<DaemonId>('e2'))],
      changes: EMPTY,
      leave: noop,
      gossip: { publish: noop, received: EMPTY, entries: () => [] },
      direct: {
        send: (to, topic) => {
          asked.push(`${topic} ${to}`);
          return true;
        },
        received: direct,
      },
    },
    requests: {
      ...part,
      handler: noop,
      inFlight: () => 3,
      drain: () => Promise.resolve(),
    },
    drain: () => {
      asked.push('stop');
      return Promise.resolve();
    },
  };
  return { deps, direct, calls: asked };
}
