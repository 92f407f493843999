/** What backend servers say of themselves in the heads of their answers: read once, and told to whom it concerns. */

import type { IncomingMessage } from 'node:http';

import type { InstanceId, MonoTime } from '../../core/ids';
import type { AnswerFacts, Dialect, ServerHead } from '../../ports/gateway';
import type { Throttle } from './throttle';
import type { GatewayContext } from './context';
import type { LeavingServers } from './leaving-servers';
import type { RateLimits } from './rate-limits';

export interface ServerNotices {
  /** Reads the head of an answer of the server; `sentAt`: when its request was sent. */
  read(
    server: InstanceId,
    res: Pick<IncomingMessage, 'statusCode' | 'headers'>,
    sentAt: MonoTime,
  ): AnswerFacts;
  /** Takes what an answer to an order or a question says; that it names no limit there ends none. */
  apply(head: ServerHead): void;
}

export interface ServerNoticesOptions {
  readonly dialect: Dialect;
  readonly limits: RateLimits;
  readonly throttle: Throttle;
  readonly leaving: LeavingServers;
}

export function createServerNotices(
  { clock, logger }: GatewayContext,
  { dialect, limits, throttle: allowances, leaving }: ServerNoticesOptions,
): ServerNotices {
  const take = ({ server, facts }: ServerHead, sentAt?: MonoTime): void => {
    for (const { about, header } of facts.unreadable) {
      const fields = { step: 'statement', server, about, header };
      logger.warn('header of a server not understood', fields);
    }
    if (facts.isOfOther) return;
    // A limit that can't be understood is no sign that there is none.
    const isUnclear = facts.unreadable.some(({ about }) => about === 'limit');
    const { limitPerS: perSecond } = facts;
    if (perSecond !== undefined || (sentAt !== undefined && !isUnclear)) {
      limits.noteAnswer(server, { perSecond, sentAt: sentAt ?? clock.now() });
    }
    if (facts.isLeaving) leaving.note(server);
  };

  return {
    read: (server, { statusCode = 0, headers }, sentAt) => {
      const facts = dialect.readAnswer(statusCode, headers);
      take({ server, facts }, sentAt);
      if (!facts.isOfOther && facts.restMs !== undefined) {
        allowances.noteBackoff(server, facts.restMs);
      }
      return facts;
    },
    apply: (head) => {
      take(head);
    },
  };
}
