/**
 * `GET /metrics` on the administration address, only for operators of the platform: the metrics are
 * labelled with names of organisations, which no other organisation may learn.
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

/** Handles `GET /metrics` and passes all other requests to `next`. */
export function withMetrics(opts: MetricsPageOptions, next: HttpHandler): HttpHandler {
  return (req, res) => {
    if (req.method !== 'GET' || req.url !== PATH) {
      next(req, res);
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
