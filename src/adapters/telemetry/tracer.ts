/** OpenTelemetry tracing: W3C trace context propagation, export by OTLP over HTTP. */

import {
  defaultTextMapGetter,
  defaultTextMapSetter,
  ROOT_CONTEXT,
  SpanStatusCode,
  trace,
} from '@opentelemetry/api';
import type { Context, Tracer as OtelTracer } from '@opentelemetry/api';
import { W3CTraceContextPropagator } from '@opentelemetry/core';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { resourceFromAttributes } from '@opentelemetry/resources';
import {
  AlwaysOffSampler,
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';

import type { Span, Tracer } from '../../ports/telemetry';

export interface TracerOptions {
  /** OTLP endpoint, for instance `http://10.0.0.9:4318/v1/traces`; if absent, nothing is exported. */
  readonly otlpUrl?: string;
  /** `service.name` of the traces. */
  readonly service: string;
  /** `service.instance.id`: this daemon's id. */
  readonly instance?: string;
  /** Sampling ratio of traces without a caller's sampling decision, 0 to 1. */
  readonly share?: number;
}

/** A tracer that buffers spans for export. */
export interface ClosableTracer extends Tracer {
  /** Exports buffered spans, then stops; export errors are ignored. */
  close(): Promise<void>;
}

const EXPORT_DELAY_MS = 1000;
const EXPORT_TIMEOUT_MS = 5000;

const propagator = new W3CTraceContextPropagator();

function contextOf(traceparent: string | undefined): Context {
  if (traceparent === undefined) return ROOT_CONTEXT;
  return propagator.extract(ROOT_CONTEXT, { traceparent }, defaultTextMapGetter);
}

function traceparentOf(ctx: Context): string {
  const carrier: { traceparent?: string } = {};
  propagator.inject(ctx, carrier, defaultTextMapSetter);
  return carrier.traceparent ?? '';
}

function startSpan(tracer: OtelTracer, name: string, parent: Context): Span {
  const span = tracer.startSpan(name, {}, parent);
  const ctx = trace.setSpan(parent, span);
  return {
    traceparent: traceparentOf(ctx),
    set: (attribute, value) => {
      span.setAttribute(attribute, value);
    },
    child: (childName) => startSpan(tracer, childName, ctx),
    end: (error) => {
      if (error !== undefined) span.setStatus({ code: SpanStatusCode.ERROR, message: error });
      span.end();
    },
  };
}

function createProvider({
  otlpUrl,
  service,
  instance,
  share = 1,
}: TracerOptions): BasicTracerProvider {
  const resource = resourceFromAttributes({
    'service.name': service,
    ...(instance === undefined ? {} : { 'service.instance.id': instance }),
  });
  if (otlpUrl === undefined) {
    const sampler = new ParentBasedSampler({ root: new AlwaysOffSampler() });
    return new BasicTracerProvider({ resource, sampler });
  }
  const exporter = new OTLPTraceExporter({ url: otlpUrl, timeoutMillis: EXPORT_TIMEOUT_MS });
  return new BasicTracerProvider({
    resource,
    sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(share) }),
    spanProcessors: [
      new BatchSpanProcessor(exporter, {
        scheduledDelayMillis: EXPORT_DELAY_MS,
        exportTimeoutMillis: EXPORT_TIMEOUT_MS,
      }),
    ],
  });
}

/** Creates the tracer of one daemon. */
export function createTracer(opts: TracerOptions): ClosableTracer {
  const provider = createProvider(opts);
  const tracer = provider.getTracer(opts.service);
  return {
    start: (name, traceparent) => startSpan(tracer, name, contextOf(traceparent)),
    close: () => provider.shutdown().catch(() => undefined),
  };
}
