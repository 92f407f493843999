/** Wire format of the users' platform: server rows, orders and their status codes. */

import type { ServerOrder } from '../../src/core/gateway/orders';
import type { BackendServer } from '../../src/core/gateway/types';
import { brandAs } from '../../src/core/ids';
import type { Epoch, GroupId, InstanceId, ModelId } from '../../src/core/ids';
import * as z from 'zod';

/** Encodes the row of a server in the servers table. */
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
    coldMs: server.coldMs ?? 0,
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

/** Decodes the order in a request body; undefined where it is invalid. */
export function decodeOrder(body: unknown): ServerOrder | undefined {
  const parsed = orderSchema.safeParse(body).data;
  if (!parsed) return undefined;
  if (parsed.operation === 'close') {
    const { operation: kind, mode, ...rest } = parsed;
    return { kind, ...rest, mode: mode === 'queue' ? 'finish' : 'abort' };
  }
  const { operation: kind, ...rest } = parsed;
  return { kind, ...rest } as ServerOrder;
}

/** HTTP status by result of an order. */
export const ORDER_STATUS = {
  done: 202,
  refused: 409,
  'other-server': 421,
  'not-sent': 503,
  unknown: 503,
} as const;
