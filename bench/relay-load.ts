/** Load generator of the relay benchmark: closed loops of calls, and the CPU time of a process. */

import { readFileSync } from 'node:fs';
import { Agent, request } from 'node:http';

import { CALLER_KEY } from '../tests/support/system';

/** Clock ticks per second in `/proc` (USER_HZ), the same on all current Linux machines. */
const TICKS_PER_SECOND = 100;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** A target of calls. */
export interface Target {
  readonly address: string;
  readonly headers?: Readonly<Record<string, string>>;
}

export interface Caller {
  /** Sends one call and resolves with its duration, milliseconds. */
  call(target: Target, body: string): Promise<number>;
  close(): void;
}

/** CPU time that a process has used so far, milliseconds. */
export function cpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The process name, in parentheses, may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return (ticks * 1_000) / TICKS_PER_SECOND;
}

function headersOf(target: Target, body: string): Record<string, string | number> {
  return {
    authorization: `Bearer ${CALLER_KEY}`,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...target.headers,
  };
}

export function createCaller(): Caller {
  const agent = new Agent({ keepAlive: true, noDelay: true });
  const call = (target: Target, body: string): Promise<number> =>
    new Promise((resolve, reject) => {
      const begun = performance.now();
      const [host, port] = target.address.split(':');
      const path = '/v1/chat/completions';
      const headers = headersOf(target, body);
      const req = request({ agent, host, port, method: 'POST', path, headers }, (res) => {
        const status = res.statusCode ?? 0;
        let bytes = 0;
        res.on('data', (chunk: Buffer) => {
          bytes += chunk.length;
        });
        res.on('end', () => {
          if (status === 200 && bytes > 0) resolve(performance.now() - begun);
          else reject(new Error(`status ${status} from ${target.address}`));
        });
        res.on('error', reject);
      });
      req.on('error', reject);
      req.end(body);
    });
  return {
    call,
    close: () => {
      agent.destroy();
    },
  };
}

export interface LoopResult {
  readonly calls: number;
  readonly elapsedMs: number;
  readonly latenciesMs: readonly number[];
}

/** Keeps `width` calls in flight until `calls` have been made. */
export async function runCalls(
  caller: Caller,
  target: Target,
  body: (n: number) => string,
  width: number,
  calls: number,
): Promise<LoopResult> {
  const latenciesMs: number[] = [];
  let left = calls;
  const begun = performance.now();
  const worker = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      latenciesMs.push(await caller.call(target, body(left)));
    }
  };
  await Promise.all(Array.from({ length: width }, worker));
  return { calls, elapsedMs: performance.now() - begun, latenciesMs };
}
