/**
 * Reducer for the configuration in force on one daemon. Its version never decreases, whatever peers
 * or the table send.
 *
 * A document is put in force only if it has the announced hash and passes validation. The table is
 * authoritative: if its head has another hash for the version in force, that document came from a
 * faulty peer and is replaced by the table's.
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

/** Identifies a document by version and content hash. */
export interface VersionRef {
  readonly version: ConfigVersion;
  readonly hash: string;
}

/** The configuration in force, and the version to fetch if a newer one is known. */
export interface InForceState {
  readonly mark: VersionRef;
  readonly document: Json | undefined;
  readonly config: Config;
  /** Newest known version whose document is not held yet. */
  readonly wanted?: VersionRef;
  /** A version that failed validation; not fetched again until another version is announced. */
  readonly refused?: VersionRef;
}

/** Where a document came from; `self`: it was submitted through this daemon. */
export type DocumentSource = 'table' | 'peer' | 'self';

/** Input of the reducer. */
export type InForceEvent =
  /** The head was read from the table. */
  | { readonly kind: 'head'; readonly mark: VersionRef }
  /** The head's row is damaged or has an unknown schema. */
  | { readonly kind: 'unreadable'; readonly message: string }
  /** A peer announced a version, with the delta from `base` if that was small. */
  | {
      readonly kind: 'pushed';
      readonly mark: VersionRef;
      readonly base?: VersionRef;
      readonly delta?: Delta;
    }
  /** A document was fetched from the table or a peer, or accepted on this daemon. */
  | {
      readonly kind: 'document';
      readonly mark: VersionRef;
      readonly document: Json;
      readonly from: DocumentSource;
    };

/** Conditions that need an operator. */
export type AlarmCode =
  'config-unreadable' | 'config-corrupt' | 'config-invalid' | 'config-differs' | 'config-ahead';

/** Output of the reducer: a document to fetch, a new configuration, or an alarm. */
export type InForceEffect =
  | { readonly kind: 'fetch'; readonly mark: VersionRef }
  | { readonly kind: 'in-force'; readonly config: Config }
  | { readonly kind: 'alarm'; readonly code: AlarmCode; readonly message: string };

type InForceStep = Step<InForceState, InForceEffect>;

/** State before the first version: an empty configuration as version 0. */
export const NOTHING_IN_FORCE: InForceState = {
  mark: { version: brandAs<ConfigVersion>(0), hash: '' },
  document: undefined,
  config: EMPTY_CONFIG,
};

/** Applies one event; emits a fetch, a new configuration or an alarm. */
export const reduceInForce = createReducer<InForceState, InForceEvent, InForceEffect>({
  head: (state, event) => onHead(state, event.mark),
  unreadable: (state, event) => next(state, alarm('config-unreadable', event.message)),
  pushed: (state, event) => {
    if (event.mark.version <= state.mark.version) return next(state);
    const { base, delta } = event;
    const fits = base && delta && isSameRef(base, state.mark);
    if (!fits) return requestVersion(state, event.mark);
    const document = applyDelta(state.document ?? {}, delta);
    if (hashDocument(document) !== event.mark.hash) return requestVersion(state, event.mark);
    return accept(state, event.mark, document);
  },
  document: (state, event) => {
    if (event.mark.version < state.mark.version) return next(state);
    if (isSameRef(event.mark, state.mark)) return next(state);
    const replaces = event.mark.version > state.mark.version || event.from === 'table';
    if (!replaces) return next(state, conflictAlarm(state));
    if (hashDocument(event.document) !== event.mark.hash) {
      const message = `document of version ${event.mark.version} from ${event.from} does not match the announced hash`;
      return next(state, alarm('config-corrupt', message));
    }
    return accept(state, event.mark, event.document);
  },
});

function alarm(code: AlarmCode, message: string): InForceEffect {
  return { kind: 'alarm', code, message };
}

function conflictAlarm(state: InForceState): InForceEffect {
  const message = `a peer has a different document for version ${state.mark.version}`;
  return alarm('config-differs', message);
}

function isSameRef(a: VersionRef | undefined, b: VersionRef): boolean {
  return a?.version === b.version && a.hash === b.hash;
}

function onHead(state: InForceState, mark: VersionRef): InForceStep {
  if (mark.version > state.mark.version) return requestVersion(state, mark);
  if (mark.version < state.mark.version || mark.hash === state.mark.hash) return next(state);
  return next(
    { ...state, wanted: mark },
    alarm('config-differs', `the table has a different document for version ${mark.version}`),
    { kind: 'fetch', mark },
  );
}

function requestVersion(state: InForceState, mark: VersionRef): InForceStep {
  if (isSameRef(state.refused, mark)) return next(state);
  const newest = state.wanted && state.wanted.version > mark.version ? state.wanted : mark;
  return next({ ...state, wanted: newest }, { kind: 'fetch', mark: newest });
}

function accept(state: InForceState, mark: VersionRef, document: Json): InForceStep {
  const validated = checkDocument(document);
  if (validated.isErr()) {
    const message = `document of version ${mark.version} is invalid on this daemon: ${formatFieldErrors(validated.error)}`;
    return next({ ...state, refused: mark }, alarm('config-invalid', message));
  }
  const config = resolve(validated.value, mark.version);
  const { wanted, ...rest } = state;
  const held: InForceState = { ...rest, mark, document, config };
  const inForce: InForceEffect = { kind: 'in-force', config };
  if (!wanted || wanted.version <= mark.version) return next(held, inForce);
  return next({ ...held, wanted }, inForce);
}
