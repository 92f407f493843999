/** Interfaces for metrics and tracing. */

/** Metric labels. Never contain an organisation's data; its name only where the docs list it. */
export type Labels = Readonly<Record<string, string>>;

export interface Metrics {
  /** Adds to a counter. */
  count(name: string, labels?: Labels, by?: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, labels?: Labels): void;
  /** Records a latency, milliseconds. */
  observe(name: string, ms: number, labels?: Labels): void;
  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string>;
}

/** A span of a trace: one hop of a request. */
export interface Span {
  /** Value of the `traceparent` header for outgoing requests. */
  readonly traceparent: string;
  set(attribute: string, value: string | number | boolean): void;
  /** Starts a child span. */
  child(name: string): Span;
  /** Ends the span, with status ERROR if `error` is given. */
  end(error?: string): void;
}

export interface Tracer {
  /** Starts a span: a child of the caller's if `traceparent` is valid, else a root. */
  start(name: string, traceparent?: string): Span;
}
