/**
 * Processes what backend servers announce in their response headers: rate limits, backoff,
 * coldness and leaving.
 */

import type { IncomingMessage } from 'node:http';

import type { InstanceId, MonoTime } from '../../core/ids';
import type { ResponseFacts, HeaderDialect, ResponseHeaders } from '../../ports/gateway';
import type { ColdServers } from './cold-servers';
import type { Throttle } from './throttle';
import type { GatewayContext } from './context';
import type { LeavingServers } from './leaving-servers';
import type { RateLimits } from './rate-limits';

export interface ServerNotices {
  /** Reads the response headers of a server; `sentAt`: when the request was sent. */
  read(
    server: InstanceId,
    res: Pick<IncomingMessage, 'statusCode' | 'headers'>,
    sentAt: MonoTime,
  ): ResponseFacts;
  /**
   * Applies the headers of an answer to an order or a report request. Such an answer without a
   * limit does not end a limit.
   */
  apply(head: ResponseHeaders): void;
}

export interface ServerNoticesOptions {
  readonly dialect: HeaderDialect;
  readonly limits: RateLimits;
  readonly throttle: Throttle;
  readonly leaving: LeavingServers;
  readonly cold: Pick<ColdServers, 'noteColdMs'>;
}

export function createServerNotices(
  { clock, logger }: GatewayContext,
  { dialect, limits: rateLimits, throttle, leaving: leavingServers, cold }: ServerNoticesOptions,
): ServerNotices {
  const apply = ({ server, facts }: ResponseHeaders, sentAt?: MonoTime): void => {
    for (const { about, header } of facts.unreadable) {
      const fields = { step: 'statement', server, about, header };
      logger.warn('header of a server not understood', fields);
    }
    if (facts.isFromOtherServer) return;
    // An unreadable limit does not mean that there is none.
    const isLimitUnreadable = facts.unreadable.some(({ about }) => about === 'limit');
    const { limitPerS: perSecond } = facts;
    if (perSecond !== undefined || (sentAt !== undefined && !isLimitUnreadable)) {
      rateLimits.noteAnswer(server, { perSecond, sentAt: sentAt ?? clock.now() });
    }
    if (facts.coldMs !== undefined) cold.noteColdMs(server, facts.coldMs, sentAt);
    if (facts.isLeaving) leavingServers.note(server);
  };

  return {
    read: (server, { statusCode = 0, headers }, sentAt) => {
      const facts = dialect.parseResponse(statusCode, headers);
      apply({ server, facts }, sentAt);
      if (!facts.isFromOtherServer && facts.restMs !== undefined) {
        throttle.noteBackoff(server, facts.restMs);
      }
      return facts;
    },
    apply: (head) => {
      apply(head);
    },
  };
}
