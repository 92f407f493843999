/** Metrics and traces, as the parts of a daemon use them. */

/** Labels of a metric. Never an organisation's data; organisation names only where listed in docs. */
export type Labels = Readonly<Record<string, string>>;

export interface Metrics {
  /** Adds to a counter. */
  count(name: string, labels?: Labels, by?: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, labels?: Labels): void;
  /** Records a latency, milliseconds. */
  observe(name: string, ms: number, labels?: Labels): void;
  /** The Prometheus text format. */
  render(): Promise<string>;
}

/** One hop of a request. */
export interface Span {
  /** What to send on as the `traceparent` header. */
  readonly traceparent: string;
  set(attribute: string, value: string | number | boolean): void;
  /** Starts a span below this one. */
  child(name: string): Span;
  end(error?: string): void;
}

export interface Tracer {
  /** Starts a span, below the caller's where a valid `traceparent` came in. */
  start(name: string, traceparent?: string): Span;
}
