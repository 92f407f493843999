/** HTTP client for the platform's object store. */

import { err, ok } from 'neverthrow';

import type { ObjectStore } from '../../ports/platform';
import { fail } from '../../utils/errors';
import { createStoreCaller } from './store-call';
import type { PlatformOptions, StoreCall } from './store-call';

const pathOf = (key: string): string => `/objects/${encodeURIComponent(key)}`;

/** Creates an object store client. */
export function createObjectStore(opts: PlatformOptions): ObjectStore {
  const call = createStoreCaller(opts);
  const write = (step: string, method: string, key: string, body?: Uint8Array) => {
    const base: StoreCall = { step, method, path: pathOf(key), writes: true };
    const request =
      body === undefined ? base : { ...base, body, contentType: 'application/octet-stream' };
    return call(request).andThen((reply) =>
      reply.status < 300
        ? ok(undefined)
        : err(
            fail(
              'store-unavailable',
              `object store refused the write with status ${reply.status}`,
              { step, peer: opts.address },
            ),
          ),
    );
  };
  return {
    put: (key, body) => write('object-put', 'PUT', key, body),
    get: (key) =>
      call({ step: 'object-get', method: 'GET', path: pathOf(key), writes: false }).map((reply) =>
        reply.status === 200 ? reply.body : undefined,
      ),
    remove: (key) => write('object-remove', 'DELETE', key),
  };
}
