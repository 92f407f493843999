/** Prometheus metrics; latencies are summaries with quantiles from HDR histograms. */

import { performance } from 'node:perf_hooks';
import { collectDefaultMetrics, Registry } from 'prom-client';
import type { Metric, MetricValue } from 'prom-client';

import type { Labels, Metrics } from '../../ports/telemetry';
import { DESCRIPTIONS } from './descriptions';
import { createLatency, QUANTILES, quantiles, record } from './latency';
import type { Latency } from './latency';
import { entryOf } from './series';
import type { Entry, Series } from './series';

export interface MetricsOptions {
  /** Include process metrics: CPU time, memory and event loop delay. */
  readonly ofProcess?: boolean;
  /** Monotonic clock, milliseconds; tests override it. */
  readonly now?: () => number;
}

type Value = MetricValue<string> & { readonly metricName?: string };

/** Type and current values of a metric, for the registry. */
interface Source {
  readonly type: 'counter' | 'gauge' | 'summary';
  /** Values of all label sets. */
  readonly values: () => Value[];
}

const NO_LABELS: Labels = {};

/** Registers a metric directly, as prom-client's own metric types need all label names in advance. */
function register(registry: Registry, name: string, { type, values }: Source): void {
  const help = DESCRIPTIONS[name] ?? name;
  const get = () => Promise.resolve({ name, help, type, values: values() });
  registry.registerMetric({ name, help, get } as unknown as Metric);
}

function plainValues(series: Series<number>): Value[] {
  return [...series.values()].map(({ labels, value }) => ({ labels: { ...labels }, value }));
}

function latencyValues(name: string, { labels, value }: Entry<Latency>, now: number): Value[] {
  const quantileValues = quantiles(value, now).map((ms, i) => ({
    labels: { ...labels, quantile: String(QUANTILES[i]) },
    value: ms,
  }));
  return [
    ...quantileValues,
    { metricName: `${name}_sum`, labels: { ...labels }, value: value.sumMs },
    { metricName: `${name}_count`, labels: { ...labels }, value: value.count },
  ];
}

/** Creates the metrics of one daemon. Latencies are in milliseconds. */
export function createMetrics({
  ofProcess = true,
  now = () => performance.now(),
}: MetricsOptions = {}): Metrics {
  const registry = new Registry();
  if (ofProcess) collectDefaultMetrics({ register: registry });
  const counters = new Map<string, Series<number>>();
  const gauges = new Map<string, Series<number>>();
  const latencies = new Map<string, Series<Latency>>();

  const seriesOf = <T>(
    all: Map<string, Series<T>>,
    name: string,
    source: (series: Series<T>) => Source,
  ): Series<T> => {
    const existing = all.get(name);
    if (existing !== undefined) return existing;
    const series: Series<T> = new Map();
    all.set(name, series);
    register(registry, name, source(series));
    return series;
  };

  const plain =
    (type: 'counter' | 'gauge') =>
    (series: Series<number>): Source => ({ type, values: () => plainValues(series) });

  const zero = (): number => 0;

  return {
    count: (name, labels = NO_LABELS, by = 1) => {
      entryOf(seriesOf(counters, name, plain('counter')), labels, zero).value += by;
    },
    gauge: (name, value, labels = NO_LABELS) => {
      entryOf(seriesOf(gauges, name, plain('gauge')), labels, zero).value = value;
    },
    observe: (name, ms, labels = NO_LABELS) => {
      const series = seriesOf(latencies, name, (all) => ({
        type: 'summary',
        values: () => [...all.values()].flatMap((entry) => latencyValues(name, entry, now())),
      }));
      record(entryOf(series, labels, () => createLatency(now())).value, ms, now());
    },
    render: () => registry.metrics(),
  };
}
