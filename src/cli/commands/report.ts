/** `report`: what the logs of all daemons tell of a bad day. */

import { writeFile } from 'node:fs/promises';

import { createReport } from '../../core/report/report';
import { done, flagOf, refused, usage } from '../command';
import type { Command } from '../command';
import { readLogs } from '../logs';
import { renderSvg } from '../report-chart';
import { renderText } from '../report-text';

export const report: Command = async (ctx) => {
  const svg = flagOf(ctx, 'svg');
  try {
    const lines = await readLogs(ctx.args);
    if (lines.length === 0) {
      return refused({ code: 'not-found', message: 'no line is of a daemon' });
    }
    const found = createReport(lines);
    if (svg !== undefined) await writeFile(svg, renderSvg(found));
    return done(found, renderText(found));
  } catch (cause) {
    return usage(`a log cannot be read, or the drawing not written: ${String(cause)}`);
  }
};
