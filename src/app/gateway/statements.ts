/** What backend servers say of themselves in the heads of their answers: read once, and told to whom it concerns. */

import type { IncomingMessage } from 'node:http';

import type { InstanceId, MonoTime } from '../../core/ids';
import type { AnswerFacts, Dialect } from '../../ports/gateway';
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
}

export interface StatementsOptions {
  readonly dialect: Dialect;
  readonly limits: Limits;
  readonly allowances: Allowances;
  readonly leaving: Leaving;
}

export function createStatements(
  { logger }: GatewayContext,
  { dialect, limits, allowances, leaving }: StatementsOptions,
): Statements {
  return {
    read: (server, { statusCode = 0, headers }, sentAt) => {
      const facts = dialect.readAnswer(statusCode, headers);
      for (const { about, header } of facts.unreadable) {
        const fields = { step: 'statement', server, about, header };
        logger.warn('header of a server not understood', fields);
      }
      if (facts.isOfOther) return facts;
      // A limit that can't be understood is no sign that there is none.
      if (!facts.unreadable.some(({ about }) => about === 'limit')) {
        limits.noteAnswer(server, { perSecond: facts.limitPerS, sentAt });
      }
      if (facts.restMs !== undefined) allowances.noteRest(server, facts.restMs);
      if (facts.isLeaving) leaving.note(server);
      return facts;
    },
  };
}
