/** HTTP client for the engine port: `GET /status` and `POST /orders`. */

import { Agent, request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { ResultAsync, err, errAsync, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';

import type { EngineReport } from '../core/groups/types';
import { MAX_REPORT_BYTES } from '../core/input-limits';
import type { Engine, EngineOrder, OrderAuthority } from '../ports/engine';
import { fail } from '../utils/errors';
import type { StepError } from '../utils/errors';
import { limitInput, readBody } from './upstream/answer-input';

export interface EngineOptions {
  /** Timeout for the complete response, milliseconds. */
  readonly timeoutMs?: number;
  /** Maximum number of idle connections per engine, reused by later probes. */
  readonly maxIdle?: number;
}

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;

const reportSchema = z.object({
  instance: z.string(),
  incarnation: z.string(),
  state: z.enum(['idle', 'loading', 'serving', 'draining', 'broken']),
  group: z.string().optional(),
  epoch: z.number().int().optional(),
  rank: z.number().int().optional(),
  model: z.string().optional(),
  weights: z.array(z.string()),
  inFlight: z.number(),
  queued: z.number(),
  fencing: z.number(),
  leaving: z.boolean(),
});

interface Call {
  readonly step: string;
  readonly method: 'GET' | 'POST';
  readonly address: string;
  readonly path: string;
  readonly body?: string;
}

interface Answer {
  readonly status: number;
  readonly text: string;
}

/** Creates an engine client. Errors as listed for {@link Engine}. */
export function createEngine(options: EngineOptions = {}): Engine & { close(): void } {
  const { timeoutMs = 1_000, maxIdle = 256 } = options;
  const agent = new Agent({ keepAlive: true, maxFreeSockets: maxIdle });
  const call = (spec: Call) => send(spec, agent, timeoutMs);
  return {
    report: (address) =>
      call({ step: 'probe', method: 'GET', address, path: '/status' }).andThen((answer) =>
        parseReport(answer, 'probe', address),
      ),
    order: (address, order, by) => {
      const body = JSON.stringify({ order, by } satisfies OrderBody);
      const spec: Call = {
        step: `order-${order.kind}`,
        method: 'POST',
        address,
        path: '/orders',
        body,
      };
      return call(spec).andThen((answer) => parseReport(answer, spec.step, address));
    },
    close: () => {
      agent.destroy();
    },
  };
}

interface OrderBody {
  readonly order: EngineOrder;
  readonly by: OrderAuthority;
}

function parseReport(answer: Answer, step: string, peer: string): Result<EngineReport, StepError> {
  if (answer.status === STATUS_CONFLICT) {
    return err(
      fail('conflict', `refused by the engine: ${answer.text.slice(0, 200)}`, { step, peer }),
    );
  }
  if (answer.status !== STATUS_OK) {
    return err(
      fail('unavailable', `engine responded with status ${answer.status}`, { step, peer }),
    );
  }
  const parsed = reportSchema.safeParse(parseJson(answer.text));
  if (!parsed.success) {
    return err(
      fail('bad-answer', 'engine sent an invalid report', { step, peer, cause: parsed.error }),
    );
  }
  return ok(parsed.data as unknown as EngineReport);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** A failed POST may have taken effect, unless it never connected; a failed GET has no effect. */
function send(spec: Call, agent: Agent, timeoutMs: number): ResultAsync<Answer, StepError> {
  const { step, address: peer } = spec;
  const url = urlOf(spec);
  if (!url) return errAsync(fail('unavailable', 'invalid engine address', { step, peer }));
  let connected = false;
  const answer = new Promise<Answer>((resolve, reject) => {
    const req = request(url, {
      method: spec.method,
      agent,
      headers: spec.body === undefined ? {} : { 'content-type': 'application/json' },
      signal: AbortSignal.timeout(timeoutMs),
    });
    limitInput(req);
    req.on('socket', (socket) => {
      if (!socket.connecting) connected = true;
      else socket.once('connect', () => (connected = true));
    });
    req.on('error', reject);
    req.on('response', (res) => {
      readAll(res).then((text) => {
        resolve({ status: res.statusCode ?? 0, text });
      }, reject);
    });
    req.end(spec.body);
  });
  return ResultAsync.fromPromise(answer, (cause) => {
    const isLost = connected && spec.method === 'POST';
    return fail(isLost ? 'backend-lost' : 'unavailable', 'no response from the engine', {
      step,
      peer,
      cause,
    });
  });
}

function urlOf(spec: Call): URL | undefined {
  try {
    return new URL(`http://${spec.address}${spec.path}`);
  } catch {
    return undefined;
  }
}

async function readAll(res: IncomingMessage): Promise<string> {
  const body = await readBody({ res }, MAX_REPORT_BYTES);
  if (body) return body.toString('utf8');
  res.destroy();
  throw fail('bad-answer', `report incomplete, or longer than ${MAX_REPORT_BYTES} bytes`, {
    step: 'probe',
  });
}
