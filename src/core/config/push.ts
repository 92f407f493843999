/** Builds the message that announces an accepted version to the peers. */

import type { ConfigVersion } from '../ids';
import type { Json } from '../json';
import { diffDocuments } from './delta';
import type { Delta } from './delta';
import type { InForceState, VersionRef } from './in-force';
import { hashDocument } from './rows';

/** A version, with the delta from `base` if that is small enough. */
export interface Push {
  readonly mark: VersionRef;
  readonly base?: VersionRef;
  readonly delta?: Delta;
}

/**
 * Announces a version accepted on this daemon, whose state was `before`. The delta is included only
 * if `before` is the preceding version and the delta has at most `maxBytes` characters as JSON.
 */
export function createPush(
  before: InForceState,
  version: ConfigVersion,
  document: Json,
  maxBytes: number,
): Push {
  const mark = { version, hash: hashDocument(document) };
  if (before.mark.version !== version - 1) return { mark };
  const delta = diffDocuments(before.document ?? {}, document);
  if (JSON.stringify(delta).length > maxBytes) return { mark };
  return { mark, base: before.mark, delta };
}
