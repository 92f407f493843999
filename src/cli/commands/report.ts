/** `report`: summarises an incident from the logs of all daemons. */

import { writeFile } from 'node:fs/promises';

import { createReport } from '../../core/report/report';
import { done, flagOf, refused, usage } from '../command';
import type { Command } from '../command';
import { readLogs } from '../logs';
import { renderSvg } from '../report-chart';
import { renderText } from '../report-text';

/** `report [logs...]`. */
export const report: Command = async (ctx) => {
  const svg = flagOf(ctx, 'svg');
  try {
    const lines = await readLogs(ctx.args);
    if (lines.length === 0) {
      return refused({ code: 'not-found', message: 'the input has no log lines of a daemon' });
    }
    const summary = createReport(lines);
    if (svg !== undefined) await writeFile(svg, renderSvg(summary));
    return done(summary, renderText(summary));
  } catch (cause) {
    return usage(`cannot read the logs or write the chart: ${String(cause)}`);
  }
};
