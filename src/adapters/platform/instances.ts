/** HTTP client for the platform's instance list, which may be out of date. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';

import { brandAs } from '../../core/ids';
import type { DomainId, InstanceId, ZoneId } from '../../core/ids';
import type { InstanceEntry, InstanceList } from '../../ports/platform';
import { fail } from '../../utils/errors';
import type { StepError } from '../../utils/errors';
import { createStoreCaller } from './store-call';
import type { PlatformOptions } from './store-call';

const entry = z.object({
  id: z.string().transform((id) => brandAs<InstanceId>(id)),
  role: z.enum(['engine', 'daemon']),
  address: z.string(),
  zone: z.string().transform((id) => brandAs<ZoneId>(id)),
  domain: z
    .string()
    .transform((id) => brandAs<DomainId>(id))
    .optional(),
  accelerators: z.number(),
  state: z.enum(['live', 'leaving']),
  checksFencing: z.boolean(),
});
const listReplySchema = z.object({ instances: z.array(entry) });

function toEntry({ domain, ...rest }: z.infer<typeof entry>): InstanceEntry {
  return domain === undefined ? rest : { ...rest, domain };
}

function parseList(body: Buffer, peer: string): Result<readonly InstanceEntry[], StepError> {
  try {
    return ok(listReplySchema.parse(JSON.parse(body.toString('utf8'))).instances.map(toEntry));
  } catch (cause) {
    return err(
      fail('unavailable', 'invalid instance list', { step: 'instance-list', peer, cause }),
    );
  }
}

/** The instance list, with registration of this daemon. */
export interface InstanceRegistry extends InstanceList {
  /** Registers this process. */
  enter(entry: InstanceEntry): ReturnType<ReturnType<typeof createStoreCaller>>;
  /** Removes the entry of an instance. */
  leave(id: InstanceId): ReturnType<ReturnType<typeof createStoreCaller>>;
}

/** Creates an instance list client. */
export function createInstanceList(opts: PlatformOptions): InstanceRegistry {
  const call = createStoreCaller(opts);
  const pathOf = (id: InstanceId): string => `/instances/${encodeURIComponent(id)}`;
  return {
    list: () =>
      call({ step: 'instance-list', method: 'GET', path: '/instances', writes: false }).andThen(
        (reply) => parseList(reply.body, opts.address),
      ),
    enter: (own) =>
      call({
        step: 'instance-enter',
        method: 'PUT',
        path: pathOf(own.id),
        body: Buffer.from(JSON.stringify(own)),
        writes: true,
      }),
    leave: (id) =>
      call({ step: 'instance-leave', method: 'DELETE', path: pathOf(id), writes: true }),
  };
}
