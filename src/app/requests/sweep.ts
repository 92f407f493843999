/**
 * Removes claims whose retention has passed. Each daemon reads a page now and then, from a place of
 * its own; two that meet do no harm, since a row is deleted by its version.
 */

import { timer } from 'rxjs';
import type { Subscription } from 'rxjs';

import type { OrganisationId } from '../../core/ids';
import { brandAs } from '../../core/ids';
import type { ClaimRow } from '../../core/ledger/rows';
import { CLAIM_PREFIX, claimRowKey } from '../../core/ledger/rows';
import type { Row } from '../../ports/platform';
import { readClaimRow } from './claim-rows';
import type { ClaimWriter } from './claim-writer';
import type { RequestContext } from './context';

/** Half of the time between two pages is fixed, and up to as much again is left to chance. */
const MIN_SHARE = 0.5;
const HEX_DIGITS = 16;

export interface Sweep {
  start(): void;
  stop(): void;
  /** Reads one page and removes what has expired; the number of rows removed. */
  sweepPage(): Promise<number>;
}

interface ExpiredRow {
  readonly row: Row;
  readonly claim: ClaimRow;
}

/** A place among the claims, by chance: daemons are replaced too often to begin at the start. */
function anyPlace(ctx: RequestContext): string {
  const ids = Object.keys(ctx.config.current().organisations);
  const id = ids[Math.floor(ctx.random.next() * ids.length)] ?? '';
  const digits = Math.floor(ctx.random.next() * HEX_DIGITS).toString(HEX_DIGITS);
  return claimRowKey(brandAs<OrganisationId>(id), digits);
}

async function remove(
  ctx: RequestContext,
  writer: ClaimWriter,
  { row, claim }: ExpiredRow,
): Promise<boolean> {
  const result = await writer.write({ key: row.key, version: row.version });
  const isGone = result.kind === 'written';
  if (isGone && claim.state === 'finished' && claim.answer.body.kind === 'object') {
    await ctx.objects.remove(claim.answer.body.key);
  }
  return isGone;
}

export function createSweep(ctx: RequestContext, writer: ClaimWriter): Sweep {
  let place: string | undefined;
  let subscription: Subscription | undefined;

  const expiredOf = (row: Row): readonly ExpiredRow[] => {
    const claim = readClaimRow(row);
    const isExpired = claim !== undefined && claim.expiresAt <= ctx.clock.epoch();
    return isExpired ? [{ row, claim }] : [];
  };

  const sweepPage = async (): Promise<number> => {
    if (writer.isOverloaded()) return 0;
    const page = await ctx.table.scan(CLAIM_PREFIX, place ?? anyPlace(ctx));
    if (page.isErr()) return 0;
    place = page.value.after ?? CLAIM_PREFIX;
    const expired = page.value.rows.flatMap(expiredOf);
    const removed = await Promise.all(expired.map((each) => remove(ctx, writer, each)));
    return removed.filter(Boolean).length;
  };

  const schedule = (): void => {
    const everyMs = ctx.settings.sweepIntervalMs * Math.max(1, ctx.daemonCount?.() ?? 1);
    const waitMs = everyMs * (MIN_SHARE + ctx.random.next());
    subscription = timer(waitMs).subscribe(() => void sweepPage().then(schedule));
  };

  return {
    start: schedule,
    stop: () => subscription?.unsubscribe(),
    sweepPage,
  };
}
