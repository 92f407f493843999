/**
 * The configuration in force on one daemon: forward only, whatever comes from peers or the table.
 *
 * A document is put in force only if its hash is the one announced and it passes the check. The
 * table rules: where its head has another hash for the version in force, a peer was wrong, and
 * the table's document replaces it.
 */

import type { ConfigVersion } from '../ids';
import { brandAs } from '../ids';
import type { Json } from '../json';
import { createReducer, next } from '../reducer';
import type { Step } from '../reducer';
import { checkDocument, formatFieldErrors } from './check';
import { applyDelta } from './delta';
import type { Delta } from './delta';
import { resolve } from './resolve';
import { hashDocument } from './rows';
import { EMPTY_CONFIG } from './types';
import type { Config } from './types';

/** A version by its content. */
export interface VersionRef {
  readonly version: ConfigVersion;
  readonly hash: string;
}

export interface InForceState {
  readonly mark: VersionRef;
  readonly document: Json | undefined;
  readonly config: Config;
  /** Newest version that is known and not held. */
  readonly wanted?: VersionRef;
  /** A version that could not be used; not asked for again until the head moves. */
  readonly refused?: VersionRef;
}

export type DocumentSource = 'table' | 'peer' | 'self';

export type InForceEvent =
  /** The head as the table has it. */
  | { readonly kind: 'head'; readonly mark: VersionRef }
  /** The head's row has a schema this daemon does not know. */
  | { readonly kind: 'unreadable'; readonly message: string }
  /** A peer tells of a version: what changed since `base`, or only that it exists. */
  | {
      readonly kind: 'pushed';
      readonly mark: VersionRef;
      readonly base?: VersionRef;
      readonly delta?: Delta;
    }
  | {
      readonly kind: 'document';
      readonly mark: VersionRef;
      readonly document: Json;
      readonly from: DocumentSource;
    };

export type AlarmCode =
  'config-unreadable' | 'config-corrupt' | 'config-invalid' | 'config-differs' | 'config-ahead';

export type InForceEffect =
  | { readonly kind: 'fetch'; readonly mark: VersionRef }
  | { readonly kind: 'in-force'; readonly config: Config }
  | { readonly kind: 'alarm'; readonly code: AlarmCode; readonly message: string };

type InForceStep = Step<InForceState, InForceEffect>;

export const NOTHING_IN_FORCE: InForceState = {
  mark: { version: brandAs<ConfigVersion>(0), hash: '' },
  document: undefined,
  config: EMPTY_CONFIG,
};

export const reduceInForce = createReducer<InForceState, InForceEvent, InForceEffect>({
  head: (state, event) => seeHead(state, event.mark),
  unreadable: (state, event) => next(state, alarm('config-unreadable', event.message)),
  pushed: (state, event) => {
    if (event.mark.version <= state.mark.version) return next(state);
    const { base, delta } = event;
    const fits = base && delta && sameMark(base, state.mark);
    if (!fits) return want(state, event.mark);
    const document = applyDelta(state.document ?? {}, delta);
    if (hashDocument(document) !== event.mark.hash) return want(state, event.mark);
    return accept(state, event.mark, document);
  },
  document: (state, event) => {
    if (event.mark.version < state.mark.version) return next(state);
    if (sameMark(event.mark, state.mark)) return next(state);
    const replaces = event.mark.version > state.mark.version || event.from === 'table';
    if (!replaces) return next(state, differs(state));
    if (hashDocument(event.document) !== event.mark.hash) {
      const message = `version ${event.mark.version} from ${event.from} does not have its hash`;
      return next(state, alarm('config-corrupt', message));
    }
    return accept(state, event.mark, event.document);
  },
});

function alarm(code: AlarmCode, message: string): InForceEffect {
  return { kind: 'alarm', code, message };
}

function differs(state: InForceState): InForceEffect {
  const message = `a peer has another document as version ${state.mark.version}`;
  return alarm('config-differs', message);
}

function sameMark(a: VersionRef | undefined, b: VersionRef): boolean {
  return a?.version === b.version && a.hash === b.hash;
}

function seeHead(state: InForceState, mark: VersionRef): InForceStep {
  if (mark.version > state.mark.version) return want(state, mark);
  if (mark.version < state.mark.version || mark.hash === state.mark.hash) return next(state);
  return next(
    { ...state, wanted: mark },
    alarm('config-differs', `the table has another document as version ${mark.version}`),
    { kind: 'fetch', mark },
  );
}

function want(state: InForceState, mark: VersionRef): InForceStep {
  if (sameMark(state.refused, mark)) return next(state);
  const newest = state.wanted && state.wanted.version > mark.version ? state.wanted : mark;
  return next({ ...state, wanted: newest }, { kind: 'fetch', mark: newest });
}

function accept(state: InForceState, mark: VersionRef, document: Json): InForceStep {
  const checked = checkDocument(document);
  if (checked.isErr()) {
    const message = `version ${mark.version} is not valid here: ${formatFieldErrors(checked.error)}`;
    return next({ ...state, refused: mark }, alarm('config-invalid', message));
  }
  const config = resolve(checked.value, mark.version);
  const { wanted, ...rest } = state;
  const held: InForceState = { ...rest, mark, document, config };
  const inForce: InForceEffect = { kind: 'in-force', config };
  if (!wanted || wanted.version <= mark.version) return next(held, inForce);
  return next({ ...held, wanted }, inForce);
}
