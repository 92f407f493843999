/** `explain`: what happened to one request, from the logs of the daemons. */

import { explain as explainRequest } from '../../core/explain/explain';
import type { ExplainedLine } from '../../core/explain/explain';
import { done, flagOf, refused, usage } from '../command';
import type { Command } from '../command';
import { readLogs } from '../logs';

const MS_PER_S = 1_000;
/** Shown apart, or of no use to a reader. */
const HIDDEN: ReadonlySet<string> = new Set(['level', 'step', 'requestId']);

function renderFields({ fields }: ExplainedLine): string {
  return Object.entries(fields)
    .filter(([name]) => !HIDDEN.has(name))
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}

/** Seconds before the end of the request, daemon, message and fields; the request's own lines marked. */
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

export const explain: Command = async (ctx) => {
  const [requestId, ...files] = ctx.args;
  if (requestId === undefined) return usage('the id of a request is missing');
  const before = flagOf(ctx, 'before');
  const beforeS = Number(before ?? NaN);
  if (before !== undefined && !(beforeS >= 0)) return usage('--before must be a number of seconds');
  try {
    const lines = await readLogs(files);
    const found = explainRequest(
      lines,
      requestId,
      before === undefined ? {} : { beforeMs: beforeS * MS_PER_S },
    );
    if (found.length > 0) return done(found, render(found));
    return refused({
      code: 'not-found',
      message: `none of ${lines.length} lines is of request ${requestId}: it was logged elsewhere, or left out`,
    });
  } catch (cause) {
    return usage(`a log cannot be read: ${String(cause)}`);
  }
};
