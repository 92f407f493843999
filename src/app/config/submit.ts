/** Runs the submit reducer of one change, performing its effects on the table. */

import { firstValueFrom, timer } from 'rxjs';

import {
  HEAD_KEY,
  RECENT_KEY,
  parseHead,
  parseVersionRow,
  versionKey,
} from '../../core/config/rows';
import type { StoredRow } from '../../core/config/rows';
import { reduceSubmit, startSubmit } from '../../core/config/submit';
import type {
  Change,
  SubmitAnswer,
  SubmitEffect,
  SubmitEvent,
  TableSnapshot,
} from '../../core/config/submit';
import { later } from '../../core/ids';
import type { Table } from '../../ports/platform';
import type { Clock, Random } from '../../ports/runtime';

export interface SubmitDeps {
  readonly table: Table;
  readonly clock: Clock;
  readonly random: Random;
  readonly submitTimeoutMs: number;
}

type Perform<K extends SubmitEffect['kind']> = (
  deps: SubmitDeps,
  effect: Extract<SubmitEffect, { kind: K }>,
) => Promise<SubmitEvent>;

const PERFORM: { readonly [K in Exclude<SubmitEffect['kind'], 'answer'>]: Perform<K> } = {
  read: readRows,
  commit: async ({ table }, { transaction }) => {
    const done = await table.commit(transaction);
    if (done.isOk()) return { kind: 'committed' };
    return { kind: 'commit-failed', code: done.error.code };
  },
  wait: async ({ random }, { ms }) => {
    await firstValueFrom(timer(ms * (0.5 + random.next())));
    return { kind: 'waited' };
  },
};

async function readRows(
  { table }: SubmitDeps,
  { withDocument }: { readonly withDocument: boolean },
): Promise<SubmitEvent> {
  const rows = await table.read([HEAD_KEY, RECENT_KEY]);
  if (rows.isErr()) return { kind: 'read-failed' };
  const head = rows.value.find((row) => row.key === HEAD_KEY);
  const recent = rows.value.find((row) => row.key === RECENT_KEY);
  if (!withDocument || !head) return { kind: 'read', view: { head, recent } };
  return readDocument(table, head, recent);
}

async function readDocument(
  table: Table,
  head: StoredRow,
  recent: StoredRow | undefined,
): Promise<SubmitEvent> {
  const view: TableSnapshot = { head, recent };
  const parsed = parseHead(head);
  if (parsed.isErr()) return { kind: 'read', view };
  const rows = await table.read([versionKey(parsed.value.version)]);
  const row = rows.isOk() ? rows.value[0] : undefined;
  const version = row && parseVersionRow(row);
  if (!version?.isOk()) return { kind: 'read-failed' };
  return { kind: 'read', view: { ...view, document: version.value.document } };
}

function perform(
  deps: SubmitDeps,
  effect: Exclude<SubmitEffect, { kind: 'answer' }>,
): Promise<SubmitEvent> {
  const handler = PERFORM[effect.kind] as Perform<typeof effect.kind>;
  return handler(deps, effect);
}

/** Attempts a change until it is accepted, refused or times out soon after `submitTimeoutMs`. */
export async function runSubmit(deps: SubmitDeps, change: Change): Promise<SubmitAnswer> {
  let step = startSubmit(change, later(deps.clock.now(), deps.submitTimeoutMs));
  for (;;) {
    const [effect] = step.effects;
    if (!effect)
      return {
        kind: 'refused',
        code: 'internal',
        message: 'the submit reducer ended without an answer',
      };
    if (effect.kind === 'answer') return effect.answer;
    const event = await perform(deps, effect);
    step = reduceSubmit(step.state, event, { now: deps.clock.now() });
  }
}
