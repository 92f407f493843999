/** Paths of plain services, and which of their calls may be sent again. */

import type { RepeatableCall, ServiceSpec } from '../../core/config/types';

const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
/** `.` and `..`, plain or encoded, with which a path could pass for another. */
const DOT_SEGMENT = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)/i;
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE']);

export interface ServicePath {
  readonly service: string;
  /** Below the service, without the query. */
  readonly path: string;
  readonly query: string;
}

/** Undefined if `url` is no path of a service, or could pass for another one. */
export function readServicePath(url: string): ServicePath | undefined {
  const found = SERVICE_PATH.exec(url);
  const service = found?.[1];
  const path = found?.[2] ?? '/';
  if (service === undefined || DOT_SEGMENT.test(path)) return undefined;
  return { service, path, query: found?.[3] ?? '' };
}

function covers(call: RepeatableCall, method: string, path: string): boolean {
  if (call.method.toUpperCase() !== method) return false;
  const prefix = call.path.endsWith('/') ? call.path.slice(0, -1) : call.path;
  return path === prefix || path.startsWith(`${prefix}/`);
}

/** Safe methods are repeatable, and what the configuration lists. */
export function isRepeatable(spec: ServiceSpec, method: string, path: string): boolean {
  if (SAFE_METHODS.has(method)) return true;
  return spec.repeatable.some((call) => covers(call, method, path));
}
