/** Kinds of requests in the fleet model, and the order in which its engines admit them. */

import { brandAs } from '../../src/core/ids';
import type { OrganisationId } from '../../src/core/ids';

/** Requests of one organisation and priority. */
export interface ModelKind {
  readonly priority: number;
  readonly organisation: OrganisationId;
  /** Share of all requests, 0 to 1. */
  readonly share: number;
}

export const ONLY_KIND: ModelKind = {
  priority: 1,
  organisation: brandAs<OrganisationId>('o'),
  share: 1,
};

/** Draws a kind; a single kind takes no random number. */
export function pickKind(kinds: readonly ModelKind[], random: () => number): ModelKind {
  let left = kinds.length === 1 ? 0 : random();
  return kinds.find(({ share }) => (left -= share) < 0) ?? ONLY_KIND;
}

interface EngineStream {
  readonly request: { readonly kind: ModelKind };
  readonly nextEventAt: number | undefined;
}

/** Adds a stream to those of an engine, which admits by priority, then in order of arrival. */
export function enqueue<S extends EngineStream>(streams: S[], stream: S): void {
  const { priority } = stream.request.kind;
  const next = streams.findIndex(
    ({ nextEventAt, request }) => nextEventAt === undefined && request.kind.priority > priority,
  );
  streams.splice(next < 0 ? streams.length : next, 0, stream);
}
