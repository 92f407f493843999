/** Other daemons as this one hears of them. */

import type { DaemonId, MonoTime } from '../../core/ids';
import type { PeerState, PlainMessage, PeerProgress } from './messages';

/** A message with its sender. */
export interface ReceivedMessage {
  readonly from: DaemonId;
  readonly address: string;
  /** Address of the daemon that passed it on; the sender's own where it came directly. */
  readonly via: string;
  readonly message: PlainMessage;
}

export interface PeerView extends PeerState {
  readonly id: DaemonId;
  readonly address: string;
  readonly at: MonoTime;
}

/** The daemon that holds the lease, as it last said. */
export interface Leader {
  readonly id: DaemonId;
  readonly address: string;
  /** Address of the daemon through which it was last heard. */
  readonly via: string;
  /** When it last said so. */
  readonly at: MonoTime;
  readonly progress: PeerProgress;
  /** Daemons that it hears of, where it told. */
  readonly daemons?: number;
  /** Daemons of which it hears nothing, where it told. */
  readonly silent?: readonly DaemonId[];
}
