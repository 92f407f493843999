/** Links to the other daemons: framed messages over TCP, at most once, unordered across peers. */

import type { Observable } from 'rxjs';

import type { DaemonId } from '../core/ids';

/** A message with the daemon that sent it. */
export interface Received<M> {
  readonly from: DaemonId;
  readonly message: M;
}

export interface Peers<M> {
  /** Sends if a link is up or can be made; false when it was dropped at once. */
  send(address: string, message: M): boolean;
  readonly received: Observable<Received<M>>;
}
