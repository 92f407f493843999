/** Renders a report as an SVG bar chart: request outcomes per second. */

import { BarChart } from 'echarts/charts';
import { GridComponent, LegendComponent, TitleComponent } from 'echarts/components';
import { init, use } from 'echarts/core';
import { SVGRenderer } from 'echarts/renderers';

import type { Report } from '../core/report/types';

const MS_PER_S = 1_000;
const WIDTH = 1_200;
const HEIGHT = 500;
/** Colour by outcome, best first; fixed, so that reports can be compared. */
const COLOURS: Readonly<Record<string, string>> = {
  served: '#4c9f70',
  'caller-gone': '#9aa5b1',
  denied: '#b39ddb',
  refused: '#f2c14e',
  torn: '#f08a4b',
  failed: '#c44536',
};

use([BarChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);

/** The chart as an SVG document. */
export function renderSvg({ seconds, startedAt }: Report): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT });
  chart.setOption({
    animation: false,
    title: { text: `Requests ended, by second from ${new Date(startedAt).toISOString()}` },
    legend: { top: 30 },
    grid: { top: 70, left: 60, right: 20, bottom: 40 },
    xAxis: { type: 'category', data: seconds.map(({ at }) => at / MS_PER_S), name: 's' },
    yAxis: { type: 'value', name: 'requests' },
    series: Object.entries(COLOURS).map(([outcome, color]) => ({
      type: 'bar',
      name: outcome,
      stack: 'all',
      itemStyle: { color },
      data: seconds.map(({ outcomes }) => outcomes[outcome] ?? 0),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
