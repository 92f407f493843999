/** The administration API under `/admin/v1`. */

import type { IncomingMessage } from 'node:http';
import { err, errAsync } from 'neverthrow';
import { filter } from 'rxjs';

import { fail } from '../../utils/errors';
import type { HttpHandler } from '../parts';
import { authenticate } from './auth';
import { DEFAULT_MAX_BODY_BYTES } from './deps';
import type { AdminDeps } from './deps';
import {
  amendOrganisation,
  listVersions,
  readConfig,
  readOrganisation,
  submitConfig,
} from './documents';
import { toRefusal, sendResult } from './exchange';
import type { RouteResult } from './exchange';
import { addKey, listKeys, removeKey } from './keys';
import { drain, DRAIN_TOPIC, readStatus } from './operations';
import type { Route } from './route';

export type { AdminDeps } from './deps';

const PREFIX = '/admin/v1/';

/** Routes by method and first path segment, with a trailing `/` where a name follows. */
const ROUTES: Readonly<Record<string, Route>> = {
  'PUT config': submitConfig,
  'GET config': readConfig,
  'GET versions': listVersions,
  'GET organisations/': readOrganisation,
  'PATCH organisations/': amendOrganisation,
  'GET status': readStatus,
  'POST drain': drain,
  'GET keys': listKeys,
  'POST keys': addKey,
  'DELETE keys/': removeKey,
};

interface ResolvedRoute {
  readonly route: Route | undefined;
  /** Whether the path exists with this or another method. */
  readonly isKnownPath: boolean;
  /** Decoded rest of the path, or empty. */
  readonly name: string;
}

function decodeName(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}

function resolveRoute(method: string, path: string): ResolvedRoute {
  const resourcePath = path.startsWith(PREFIX) ? path.slice(PREFIX.length) : '';
  const slash = resourcePath.indexOf('/');
  const resource = slash === -1 ? resourcePath : resourcePath.slice(0, slash + 1);
  const name = slash === -1 ? '' : decodeName(resourcePath.slice(slash + 1));
  const key = `${method} ${resource}`;
  const route = Object.hasOwn(ROUTES, key) ? ROUTES[key] : undefined;
  const known = Object.keys(ROUTES).some((other) => other.endsWith(` ${resource}`));
  return { route, isKnownPath: known, name };
}

function parseUrl(req: IncomingMessage): URL {
  return URL.parse(req.url ?? '/', 'http://admin') ?? new URL('http://admin/');
}

function dispatch(deps: AdminDeps, req: IncomingMessage): RouteResult {
  const url = parseUrl(req);
  const operator = authenticate(
    deps.config.current(),
    deps.bootstrapKeyHash,
    req.headers.authorization,
  );
  if (operator.isErr()) return errAsync(toRefusal(operator.error));
  const { route, isKnownPath: known, name } = resolveRoute(req.method ?? 'GET', url.pathname);
  if (route === undefined) {
    const code = known ? 'method-not-allowed' : 'not-found';
    return errAsync(
      toRefusal(fail(code, 'no route for this method and path', { step: 'admin-route' })),
    );
  }
  const maxBodyBytes = deps.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  return route({ deps, req, url, operator: operator.value, name, maxBodyBytes });
}

/** Creates the HTTP handler of the API; also listens for drain requests of other daemons. */
export function createAdmin(deps: AdminDeps): HttpHandler {
  deps.membership.direct.received
    .pipe(filter(({ topic }) => topic === DRAIN_TOPIC))
    .subscribe(({ from }) => {
      deps.logger.info('stop requested by another daemon', { step: 'drain', peer: from });
      void deps.drain();
    });
  return (req, res) => {
    // A route that throws is answered with an error as well.
    void Promise.resolve(dispatch(deps, req))
      .catch((cause: unknown) => {
        deps.logger.error('administration request failed', { step: 'admin-route' });
        const message = 'the request failed with an unexpected error';
        return err(toRefusal(fail('internal', message, { step: 'admin-route', cause })));
      })
      .then((result) => {
        sendResult(req, res, result);
      });
  };
}
