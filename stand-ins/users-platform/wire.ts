/** What engine and plain servers put on the wire: rows, orders, and answers. */

import type { ServerOrder } from '../../src/core/gateway/orders';
import type { BackendServer } from '../../src/core/gateway/types';
import { brandAs } from '../../src/core/ids';
import type { Epoch, GroupId, InstanceId, ModelId } from '../../src/core/ids';
import * as z from 'zod';

/** The row of a server in the list of servers. */
export function encodeRow(server: BackendServer): object {
  const { service, address, zone, isDraining, batchSize, domain, staged, model, membership } =
    server;
  const { startedAt: born } = server;
  return {
    service,
    address,
    zone,
    version: 'v1',
    batchSize,
    state: isDraining ? 'draining' : 'ready',
    ...(born !== undefined && { born }),
    sequence: 1,
    coldMs: 0,
    ...(domain !== undefined && {
      stage: 'both',
      models: model === undefined ? [] : [{ name: model, version: 1, adapters: [] }],
      domain,
      staged,
      group: membership
        ? {
            name: membership.group,
            epoch: membership.epoch,
            rank: membership.rank,
            state: membership.state,
          }
        : null,
    }),
  };
}

const group = {
  group: z.string().transform((name) => brandAs<GroupId>(name)),
  epoch: z.number().transform((n) => brandAs<Epoch>(n)),
};
const model = z.string().transform((name) => brandAs<ModelId>(name));

const orderSchema = z.discriminatedUnion('operation', [
  z.object({
    operation: z.literal('join'),
    ...group,
    model,
    members: z.array(z.string().transform((id) => brandAs<InstanceId>(id))),
  }),
  z.object({ operation: z.literal('open'), ...group }),
  z.object({ operation: z.literal('close'), ...group, mode: z.enum(['queue', 'abort']) }),
  z.object({ operation: z.literal('leave'), ...group }),
  z.object({ operation: z.literal('stage'), model }),
]);

/** The order in a body; undefined where it is none. */
export function decodeOrder(body: unknown): ServerOrder | undefined {
  const read = orderSchema.safeParse(body).data;
  if (!read) return undefined;
  if (read.operation === 'close') {
    const { operation: kind, mode, ...rest } = read;
    return { kind, ...rest, mode: mode === 'queue' ? 'finish' : 'abort' };
  }
  const { operation: kind, ...rest } = read;
  return { kind, ...rest } as ServerOrder;
}

export const ORDER_STATUS = {
  done: 202,
  refused: 409,
  'other-server': 421,
  'not-sent': 503,
  unknown: 503,
} as const;
