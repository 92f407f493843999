/** What backend servers say of themselves in the heads of their answers. */

import type { IncomingMessage } from 'node:http';

import type { InstanceId } from '../../core/ids';
import type { AnswerFacts, Dialect } from '../../ports/gateway';
import type { GatewayContext } from './context';

export interface Statements {
  /** Reads the head of an answer of the server. */
  read(server: InstanceId, res: Pick<IncomingMessage, 'statusCode' | 'headers'>): AnswerFacts;
}

export function createStatements({ logger }: GatewayContext, dialect: Dialect): Statements {
  const limits = new Map<InstanceId, number>();

  const noteLimit = (server: InstanceId, limitPerS: number | undefined): void => {
    const before = limits.get(server);
    if (before === limitPerS) return;
    if (limitPerS === undefined) limits.delete(server);
    else limits.set(server, limitPerS);
    logger.info(limitPerS === undefined ? 'limit named no more' : 'limit named', {
      step: 'statement',
      server,
      ...(limitPerS !== undefined && { limitPerS }),
      ...(before !== undefined && { before }),
    });
  };

  return {
    read: (server, { statusCode = 0, headers }) => {
      const facts = dialect.readAnswer(statusCode, headers);
      for (const header of facts.unreadable) {
        logger.warn('header of a server not understood', { step: 'statement', server, header });
      }
      if (!facts.isOfOther) noteLimit(server, facts.limitPerS);
      return facts;
    },
  };
}
