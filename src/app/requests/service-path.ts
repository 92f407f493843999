/** Parses paths of plain services and tells which of their calls are repeatable. */

import type { RepeatableCall, ServiceSpec } from '../../core/config/types';

const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
/** `.` and `..`, plain or percent-encoded: a path with them could resolve to another path. */
const DOT_SEGMENT = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)/i;
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE']);

/** A request URL split at the service name. */
export interface ServicePath {
  readonly service: string;
  /** Path relative to the service, without the query. */
  readonly path: string;
  readonly query: string;
}

/** Parses `url`. Returns undefined if it is no service path or contains dot segments. */
export function readServicePath(url: string): ServicePath | undefined {
  const match = SERVICE_PATH.exec(url);
  const service = match?.[1];
  const path = match?.[2] ?? '/';
  if (service === undefined || DOT_SEGMENT.test(path)) return undefined;
  return { service, path, query: match?.[3] ?? '' };
}

function matchesCall(call: RepeatableCall, method: string, path: string): boolean {
  if (call.method.toUpperCase() !== method) return false;
  const prefix = call.path.endsWith('/') ? call.path.slice(0, -1) : call.path;
  return path === prefix || path.startsWith(`${prefix}/`);
}

/** Whether a call is repeatable: its method is safe, or the configuration lists it. */
export function isRepeatable(spec: ServiceSpec, method: string, path: string): boolean {
  if (SAFE_METHODS.has(method)) return true;
  return spec.repeatable.some((call) => matchesCall(call, method, path));
}
