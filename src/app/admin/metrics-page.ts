/**
 * `GET /metrics` on the operators' address, for operators of the platform alone: totals carry the
 * names of organisations, which no other organisation may learn.
 */

import { err } from 'neverthrow';

import type { Metrics } from '../../ports/telemetry';
import type { ConfigView, HttpHandler } from '../parts';
import { authenticate, requirePlatform } from './auth';
import { toRefusal, sendResult } from './exchange';

export interface MetricsPageOptions {
  readonly config: ConfigView;
  readonly metrics: Metrics;
  readonly bootstrapKeyHash?: string;
}

const PATH = '/metrics';
const CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Answers `/metrics` and hands everything else on. */
export function withMetrics(opts: MetricsPageOptions, rest: HttpHandler): HttpHandler {
  return (req, res) => {
    if (req.method !== 'GET' || req.url !== PATH) {
      rest(req, res);
      return;
    }
    const allowed = authenticate(
      opts.config.current(),
      opts.bootstrapKeyHash,
      req.headers.authorization,
    ).andThen(requirePlatform);
    if (allowed.isErr()) {
      sendResult(req, res, err(toRefusal(allowed.error)));
      return;
    }
    void opts.metrics.render().then((text) => {
      res.writeHead(200, { 'content-type': CONTENT_TYPE });
      res.end(text);
    });
  };
}
