/** The platform's object store over HTTP. */

import { err, ok } from 'neverthrow';

import type { ObjectStore } from '../../ports/platform';
import { fail } from '../../utils/errors';
import { createStoreCaller } from './store-call';
import type { PlatformOptions, StoreCall } from './store-call';

const pathOf = (key: string): string => `/objects/${encodeURIComponent(key)}`;

/** A client of the object store. */
export function createObjectStore(opts: PlatformOptions): ObjectStore {
  const call = createStoreCaller(opts);
  const write = (step: string, method: string, key: string, body?: Uint8Array) => {
    const base: StoreCall = { step, method, path: pathOf(key), writes: true };
    const sent =
      body === undefined ? base : { ...base, body, contentType: 'application/octet-stream' };
    return call(sent).andThen((reply) =>
      reply.status < 300
        ? ok(undefined)
        : err(
            fail('store-unavailable', `refused with ${reply.status}`, { step, peer: opts.address }),
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
