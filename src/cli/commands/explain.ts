/** `explain`: what happened to one request, from the logs of the daemons. */

import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

import { explain as explainRequest, readLine } from '../../core/explain/explain';
import type { ExplainedLine, LogLine } from '../../core/explain/explain';
import { done, flagOf, refused, usage } from '../command';
import type { Command } from '../command';

const MS_PER_S = 1_000;
/** Shown apart, or of no use to a reader. */
const HIDDEN: ReadonlySet<string> = new Set(['level', 'step', 'requestId']);

async function readLines(input: Readable): Promise<LogLine[]> {
  const lines: LogLine[] = [];
  for await (const text of createInterface({ input })) {
    const line = readLine(text);
    if (line) lines.push(line);
  }
  return lines;
}

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
  const inputs = files.length === 0 ? [process.stdin] : files.map((path) => createReadStream(path));
  try {
    const lines = (await Promise.all(inputs.map(readLines))).flat();
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
