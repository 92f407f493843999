/** What backend servers say of themselves in the heads of their answers: read once, and told to whom it concerns. */

import type { IncomingMessage } from 'node:http';

import type { InstanceId, MonoTime } from '../../core/ids';
import type { AnswerFacts, Dialect, ServerHead } from '../../ports/gateway';
import type { Allowances } from './allowances';
import type { GatewayContext } from './context';
import type { Leaving } from './leaving';
import type { Limits } from './limits';

export interface Statements {
  /** Reads the head of an answer of the server; `sentAt`: when its request was sent. */
  read(
    server: InstanceId,
    res: Pick<IncomingMessage, 'statusCode' | 'headers'>,
    sentAt: MonoTime,
  ): AnswerFacts;
  /** Takes what an answer to an order or a question says; that it names no limit there ends none. */
  take(head: ServerHead): void;
}

export interface StatementsOptions {
  readonly dialect: Dialect;
  readonly limits: Limits;
  readonly allowances: Allowances;
  readonly leaving: Leaving;
}

export function createStatements(
  { clock, logger }: GatewayContext,
  { dialect, limits, allowances, leaving }: StatementsOptions,
): Statements {
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
        allowances.noteRest(server, facts.restMs);
      }
      return facts;
    },
    take: (head) => {
      take(head);
    },
  };
}
