/** Messaging between daemons: framed messages over TCP, delivered at most once, unordered across peers. */

import type { Observable } from 'rxjs';

import type { DaemonId } from '../core/ids';

/** A received message and its sender. */
export interface Received<M> {
  readonly from: DaemonId;
  readonly message: M;
}

/** Sends messages of type `M` to other daemons and receives theirs. */
export interface Peers<M> {
  /** Sends over an open link, or queues while one is opened; false if the message was dropped at once. */
  send(address: string, message: M): boolean;
  readonly received: Observable<Received<M>>;
}
