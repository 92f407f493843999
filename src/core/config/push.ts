/** What a daemon tells its peers of a version it has accepted. */

import type { ConfigVersion } from '../ids';
import type { Json } from '../json';
import { diffDocuments } from './delta';
import type { Delta } from './delta';
import type { InForceState, VersionRef } from './in-force';
import { hashDocument } from './rows';

/** A version, with what changed since `base` where that is small. */
export interface Push {
  readonly mark: VersionRef;
  readonly base?: VersionRef;
  readonly delta?: Delta;
}

/** The push of a version accepted on the daemon whose state was `before`. */
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
