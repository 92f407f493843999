/** `explain`: the timeline of one request, from the logs of all daemons. */

import { explain as explainRequest } from '../../core/explain/explain';
import type { ExplainedLine } from '../../core/explain/explain';
import { done, flagOf, refused, usage } from '../command';
import type { Command } from '../command';
import { readLogs } from '../logs';

const MS_PER_S = 1_000;
/** Fields that have their own column, or are of no use to a reader. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set(['level', 'step', 'requestId']);

function renderFields({ fields }: ExplainedLine): string {
  return Object.entries(fields)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}

/**
 * One row per line: seconds relative to the end of the request, daemon, message and fields. `>`
 * marks the request's own lines.
 */
function render(lines: readonly ExplainedLine[]): string {
  const end = Math.max(...lines.filter(({ isOwn }) => isOwn).map(({ commonAt }) => commonAt));
  const width = Math.max(...lines.map(({ daemon }) => daemon.length));
  return lines
    .map((line) => {
      const seconds = ((line.commonAt - end) / MS_PER_S).toFixed(3).padStart(9);
      const mark = line.isOwn ? '>' : ' ';
      return `${mark}${seconds} s  ${line.daemon.padEnd(width)}  ${line.message}  ${renderFields(line)}`;
    })
    .join('\n');
}

/** `explain <request> [logs...]`. */
export const explain: Command = async (ctx) => {
  const [requestId, ...files] = ctx.args;
  if (requestId === undefined) return usage('the request id is missing');
  const before = flagOf(ctx, 'before');
  const beforeS = Number(before ?? NaN);
  if (before !== undefined && !(beforeS >= 0)) return usage('--before must be a number of seconds');
  try {
    const lines = await readLogs(files);
    const explained = explainRequest(
      lines,
      requestId,
      before === undefined ? {} : { beforeMs: beforeS * MS_PER_S },
    );
    if (explained.length > 0) return done(explained, render(explained));
    return refused({
      code: 'not-found',
      message: `none of ${lines.length} log lines belongs to request ${requestId}: it was logged by another daemon, or its lines were dropped`,
    });
  } catch (cause) {
    return usage(`cannot read the logs: ${String(cause)}`);
  }
};
