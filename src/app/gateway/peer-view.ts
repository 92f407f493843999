/** This daemon's view of the other daemons. */

import type { DaemonId, MonoTime, ServiceId } from '../../core/ids';
import type { PeerState, PlainMessage, PeerProgress } from './messages';

/** A message with its sender. */
export interface ReceivedMessage {
  readonly from: DaemonId;
  readonly address: string;
  /** Address of the daemon that forwarded it; the sender's own if it came directly. */
  readonly via: string;
  readonly message: PlainMessage;
}

export interface PeerView extends PeerState {
  readonly id: DaemonId;
  readonly address: string;
  readonly at: MonoTime;
}

/** The daemon that holds the lease, as of its last message. */
export interface Leader {
  readonly id: DaemonId;
  readonly address: string;
  /** Address of the daemon that delivered its last message. */
  readonly via: string;
  /** When the last message arrived. */
  readonly at: MonoTime;
  readonly progress: PeerProgress;
  /** Daemons that it hears from, if it reported that. */
  readonly daemons?: number;
  /** Daemons that do not respond to it, if it reported that. */
  readonly silent?: readonly DaemonId[];
  /** Daemons that reach services through peers only, with these services, if it reported that. */
  readonly cutOff?: readonly (readonly [DaemonId, readonly ServiceId[]])[];
}
