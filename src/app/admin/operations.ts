/** Routes that show the status, and drain instances and daemons. */

import { errAsync, okAsync } from 'neverthrow';

import { brandAs } from '../../core/ids';
import type { DaemonId, InstanceId } from '../../core/ids';
import { fail } from '../../utils/errors';
import { requirePlatform } from './auth';
import type { AdminDeps } from './deps';
import { readObject, toRefusal } from './exchange';
import type { RouteResult } from './exchange';
import type { Route } from './route';

/** Topic of the direct message that asks another daemon to stop. */
export const DRAIN_TOPIC = 'admin-drain';
const STEP = 'drain';

/**
 * `GET /admin/v1/status`: each daemon with the configuration version in force on it. Operators of the
 * platform also get the requests in flight and the control plane's status.
 */
export const readStatus: Route = ({ deps, operator }) => {
  const { config, membership, requests, control } = deps;
  const daemons = membership
    .peers()
    .map(({ id, zone, state, configVersion }) => ({ id, zone, state, configVersion }));
  const common = { daemon: membership.self, version: config.current().version, daemons };
  if (operator.organisation !== undefined) return okAsync({ status: 200, body: common });
  const body = { ...common, inFlight: requests.inFlight(), control: control.status() };
  return okAsync({ status: 200, body });
};

function drainDaemon(deps: AdminDeps, id: DaemonId): RouteResult {
  const { membership } = deps;
  const body = { draining: { daemon: id } };
  if (id === membership.self) {
    void deps.drain();
    return okAsync({ status: 202, body });
  }
  if (!membership.peers().some((peer) => peer.id === id)) {
    return errAsync(toRefusal(fail('not-found', `daemon ${id} is unknown here`, { step: STEP })));
  }
  if (membership.direct.send(id, DRAIN_TOPIC, {})) return okAsync({ status: 202, body });
  const message = 'the daemon is not reachable from this one';
  return errAsync(toRefusal(fail('unavailable', message, { step: STEP, peer: id })));
}

function drainInstance(deps: AdminDeps, id: InstanceId): RouteResult {
  return deps.control
    .drainInstance(id)
    .map(() => ({ status: 202, body: { draining: { instance: id } } }))
    .mapErr(toRefusal);
}

/** `POST /admin/v1/drain` `{daemon}` or `{instance}`. */
export const drain: Route = ({ deps, req, operator, maxBodyBytes }) => {
  const allowed = requirePlatform(operator);
  if (allowed.isErr()) return errAsync(toRefusal(allowed.error));
  return readObject(req, maxBodyBytes).andThen(({ daemon, instance }): RouteResult => {
    if (typeof daemon === 'string' && instance === undefined) {
      return drainDaemon(deps, brandAs<DaemonId>(daemon));
    }
    if (typeof instance === 'string' && daemon === undefined) {
      return drainInstance(deps, brandAs<InstanceId>(instance));
    }
    const message = 'the body must name either a daemon or an instance';
    return errAsync(toRefusal(fail('bad-request', message, { step: STEP })));
  });
};
