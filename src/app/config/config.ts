/** The configuration part of a daemon: submits changes, keeps the newest in force, informs peers. */

import { ResultAsync, err, errAsync, ok, okAsync } from 'neverthrow';
import type { Result } from 'neverthrow';

import { createPush } from '../../core/config/push';
import {
  HEAD_KEY,
  VERSION_PREFIX,
  parseHead,
  parseVersionRow,
  versionKey,
  versionOfKey,
} from '../../core/config/rows';
import type { StoredRow } from '../../core/config/rows';
import type { Accepted, Change } from '../../core/config/submit';
import { brandAs, later } from '../../core/ids';
import type { ChangeId, ConfigVersion } from '../../core/ids';
import type { Table } from '../../ports/platform';
import { fail } from '../../utils/errors';
import type { StepError } from '../../utils/errors';
import type { AcceptedConfig, ConfigChange, ConfigPart } from '../parts';
import { PUSH_TOPIC, encodePush } from './messages';
import { CONFIG_DEFAULTS } from './settings';
import type { ConfigSettings } from './settings';
import { runSubmit } from './submit';
import { createConfigSync } from './sync';
import type { ConfigSyncDeps } from './sync';

export interface ConfigDeps extends ConfigSyncDeps {
  readonly settings?: Partial<ConfigSettings>;
}

function toChange({ changeId, ifVersion, document, organisation }: ConfigChange): Change {
  return {
    changeId: brandAs<ChangeId>(changeId),
    document,
    ...(ifVersion === undefined ? {} : { ifVersion }),
    ...(organisation === undefined ? {} : { organisation }),
  };
}

function parseAccepted(row: StoredRow): Result<AcceptedConfig, StepError> {
  const parsed = parseVersionRow(row);
  if (parsed.isOk()) return ok({ version: parsed.value.version, document: parsed.value.document });
  return err(fail('unavailable', parsed.error.message, { step: 'config-read', peer: row.key }));
}

function readVersion(table: Table, version: ConfigVersion): ResultAsync<AcceptedConfig, StepError> {
  return table.read([versionKey(version)]).andThen(([row]) => {
    if (row) return parseAccepted(row);
    const message = `configuration version ${version} is not kept`;
    return err(fail('not-found', message, { step: 'config-read' }));
  });
}

function readHeadVersion(table: Table): ResultAsync<ConfigVersion, StepError> {
  return table.read([HEAD_KEY]).andThen(([row]) => {
    const origin = { step: 'config-read', peer: HEAD_KEY };
    if (!row) return err(fail('not-found', 'no configuration has been accepted yet', origin));
    return parseHead(row)
      .map((head) => head.version)
      .mapErr(({ message }) => fail('unavailable', message, origin));
  });
}

function scanVersions(
  table: Table,
  found: readonly ConfigVersion[] = [],
  after?: string,
): ResultAsync<readonly ConfigVersion[], StepError> {
  return table.scan(VERSION_PREFIX, after).andThen((page) => {
    const all = [...found, ...page.rows.map((row) => versionOfKey(row.key))];
    return page.after === undefined ? okAsync(all) : scanVersions(table, all, page.after);
  });
}

/** Creates the configuration part; call `start` before use. */
export function createConfig(deps: ConfigDeps): ConfigPart {
  const settings: ConfigSettings = { ...CONFIG_DEFAULTS, ...deps.settings };
  const { table, gossip, clock } = deps;
  const sync = createConfigSync(deps, settings);

  function putInForce(accepted: AcceptedConfig): void {
    const { version, document } = accepted;
    // A repeated change, or one that changed nothing: peers have this version already.
    if (version <= sync.state().mark.version) return;
    const push = createPush(sync.state(), version, document, settings.maxPushBytes);
    sync.dispatch({ kind: 'document', mark: push.mark, document, from: 'self' });
    const expiresAt = later(clock.epoch(), settings.pushTtlMs);
    gossip.publish(PUSH_TOPIC, `v/${version}`, encodePush(push), expiresAt);
  }

  /**
   * The document of an accepted change. A repeated change of an organisation is read from the table,
   * because its document was merged when it was first accepted.
   */
  function documentOf(
    change: Change,
    { version, document }: Accepted,
  ): ResultAsync<AcceptedConfig, StepError> {
    if (document !== undefined) return okAsync({ version, document });
    if (change.organisation !== undefined) return readVersion(table, version);
    return okAsync({ version, document: change.document });
  }

  function submit(request: ConfigChange): ResultAsync<AcceptedConfig, StepError> {
    const change = toChange(request);
    const answered = runSubmit({ ...deps, submitTimeoutMs: settings.submitTimeoutMs }, change);
    return ResultAsync.fromSafePromise(answered).andThen((answer) => {
      if (answer.kind === 'accepted') return documentOf(change, answer).andTee(putInForce);
      return errAsync(fail(answer.code, answer.message, { step: 'config-submit' }));
    });
  }

  /** The newest accepted version; while the table is down, the one in force here. */
  function readNewest(): ResultAsync<AcceptedConfig, StepError> {
    return readHeadVersion(table)
      .andThen((version) => readVersion(table, version))
      .orElse((error) => {
        const { mark, document } = sync.state();
        if (error.code === 'not-found' || document === undefined) return errAsync(error);
        return okAsync({ version: mark.version, document });
      });
  }

  return {
    current: () => sync.state().config,
    changes: sync.changes,
    submit,
    read: (version) => (version === undefined ? readNewest() : readVersion(table, version)),
    versions: () => scanVersions(table),
    start: () => sync.start(),
    stop: () => {
      sync.stop();
      return Promise.resolve();
    },
  };
}
