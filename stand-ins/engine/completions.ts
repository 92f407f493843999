/** Completion requests: validated, batched, answered as a stream or in one body. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import { hashParts } from '../../src/utils/common';
import { sleep, takeOne } from '../shared/gate';
import { headerOf, pathOf, readBody, sendJson } from '../shared/server';
import { promptOf } from './answer';
import type { CompletionBody } from './answer';
import type { Batch, Job } from './batch';
import type { PrefixCache } from './cache';
import type { EngineFaults } from './faults';
import type { MemberState } from './orders';
import type { MemberRecord, RunEntry } from './record';
import { createCompletion, eventAt, eventCount, LAST_EVENT, renderBody } from './wire';
import type { Completion } from './wire';

/** A prompt with this text crashes the member. */
const CRASH_MARK = 'crash-me';
const CHARS_PER_TOKEN = 4;
/** Uncached prompt tokens that one step prefills. */
const PREFILL_TOKENS_PER_STEP = 2048;
const MAX_RESUMABLE = 256;
/** Default delay of the `lateAnswers` fault. */
const LATE_MS = 1000;

/** What serving a completion needs of its member. */
export interface Serving {
  state(): MemberState;
  readonly faults: EngineFaults;
  readonly batch: Batch;
  readonly cache: PrefixCache;
  readonly record: MemberRecord;
  /** Completions that can be resumed, by attempt; the oldest are evicted. */
  readonly resumable: Map<string, Completion>;
  readonly maxBatch: number;
  crash(): void;
}

/** Faults injected into one response, decided when its job is created. */
interface ResponseFaults {
  readonly truncate: boolean;
  readonly noFinish: boolean;
  readonly duplicate: boolean;
  readonly wrongLength: boolean;
}

interface JobOptions {
  readonly completion: Completion;
  readonly from: number;
  readonly cachedTokens: number;
  readonly run?: RunEntry;
}

function refuse(res: ServerResponse, error: string): void {
  sendJson(res, 503, { error }, { 'nutmegstack-refused': 'true', 'retry-after': '1' });
}

/** Whether this member may serve the request; refuses it otherwise. */
function admitRequest(serving: Serving, req: IncomingMessage, res: ServerResponse): boolean {
  const { phase, holding } = serving.state();
  const sameGroup = headerOf(req, 'nutmegstack-group') === holding?.group;
  const sameEpoch = headerOf(req, 'nutmegstack-epoch') === String(holding?.epoch);
  if (holding !== undefined && !(sameGroup && sameEpoch)) {
    sendJson(res, 409, { error: 'wrong-group' }, { 'nutmegstack-refused': 'true' });
    return false;
  }
  if (holding?.rank !== 0 || phase !== 'serving') {
    refuse(res, 'not-serving');
    return false;
  }
  return true;
}

function takeResponseFaults(faults: EngineFaults): ResponseFaults {
  return {
    truncate: takeOne(faults, 'truncate'),
    noFinish: takeOne(faults, 'noFinish'),
    duplicate: takeOne(faults, 'duplicate'),
    wrongLength: takeOne(faults, 'wrongLength'),
  };
}

function writeHead(
  serving: Serving,
  res: ServerResponse,
  { completion, cachedTokens }: JobOptions,
  extra: Readonly<Record<string, string | number>>,
): void {
  const { holding } = serving.state();
  const { batch, faults, maxBatch } = serving;
  const attempt = takeOne(faults, 'wrongAttempt')
    ? `${completion.attempt}-other`
    : completion.attempt;
  res.writeHead(200, {
    'nutmegstack-group': holding?.group ?? '',
    'nutmegstack-epoch': holding?.epoch ?? 0,
    'nutmegstack-attempt': attempt,
    'nutmegstack-load': `${batch.running()}/${batch.queued()}/${maxBatch}`,
    'nutmegstack-cached-tokens': cachedTokens,
    ...extra,
  });
}

function endStream(res: ServerResponse, completion: Completion, injected: ResponseFaults): void {
  if (injected.wrongLength) {
    res.destroy();
    return;
  }
  if (!injected.truncate) res.write(LAST_EVENT);
  if (injected.duplicate) {
    for (let i = 0; i < eventCount(completion); i += 1) res.write(eventAt(completion, i));
    res.write(LAST_EVENT);
  }
  res.end();
}

function endBody(res: ServerResponse, text: string, injected: ResponseFaults): void {
  if (injected.wrongLength) {
    res.write(text, () => {
      res.destroy();
    });
    return;
  }
  const half = injected.truncate ? text.slice(0, text.length / 2) : text;
  res.end(injected.duplicate ? half + text : half);
}

/** Job of a streamed response: one event per step, none while the socket applies back pressure. */
function streamJob(
  serving: Serving,
  res: ServerResponse,
  opts: JobOptions,
): Pick<Job, 'begin' | 'step'> {
  const { completion } = opts;
  const injected = takeResponseFaults(serving.faults);
  const count = eventCount(completion);
  const end = injected.truncate ? Math.floor(count / 2) : count;
  const finishAt = completion.answer.tokens.length;
  let index = opts.from;
  return {
    begin: () => {
      writeHead(serving, res, opts, { 'content-type': 'text/event-stream' });
    },
    step: () => {
      if (res.writableNeedDrain) return 'wait';
      if (injected.noFinish && index === finishAt) index += 1;
      if (index < end) res.write(eventAt(completion, index));
      index += 1;
      if (index < end) return 'more';
      endStream(res, completion, injected);
      return 'end';
    },
  };
}

/** Job of an unstreamed response: one step per token, then the complete body. */
function bodyJob(
  serving: Serving,
  res: ServerResponse,
  opts: JobOptions,
): Pick<Job, 'begin' | 'step'> {
  const injected = takeResponseFaults(serving.faults);
  let remaining = opts.completion.answer.tokens.length;
  return {
    begin: () => undefined,
    step: () => {
      remaining -= 1;
      if (remaining > 0) return 'more';
      const text = renderBody(opts.completion);
      const contentLength = Buffer.byteLength(text) + (injected.wrongLength ? 16 : 0);
      const isIntact = !injected.truncate && !injected.duplicate;
      writeHead(serving, res, opts, {
        'content-type': 'application/json',
        ...(isIntact ? { 'content-length': contentLength } : {}),
      });
      endBody(res, text, injected);
      return 'end';
    },
  };
}

function submit(
  serving: Serving,
  req: IncomingMessage,
  res: ServerResponse,
  opts: JobOptions,
): void {
  const { completion, cachedTokens, run } = opts;
  const streamed = completion.body.stream === true;
  const work = (streamed ? streamJob : bodyJob)(serving, res, opts);
  const uncached = Math.max(0, completion.answer.promptTokens - cachedTokens);
  let prefillSteps = opts.from > 0 ? 0 : Math.floor(uncached / PREFILL_TOKENS_PER_STEP);
  const job: Job = {
    priority: Number(headerOf(req, 'nutmegstack-priority') ?? 0),
    deadline: Number(headerOf(req, 'nutmegstack-deadline') ?? Infinity),
    begin: () => {
      if (run !== undefined) serving.record.runs.push(run);
      work.begin();
    },
    step: () => {
      if (prefillSteps > 0) {
        prefillSteps -= 1;
        return 'more';
      }
      return work.step();
    },
    expire: () => {
      refuse(res, 'deadline');
    },
    abort: () => res.destroy(),
  };
  res.on('close', () => {
    if (run !== undefined) run.end = Date.now();
    serving.batch.cancel(job);
  });
  if (!serving.batch.submit(job)) refuse(res, 'queue-full');
}

function keepResumable(serving: Serving, completion: Completion): void {
  const { resumable } = serving;
  resumable.set(completion.attempt, completion);
  const [oldest] = resumable.keys();
  if (resumable.size > MAX_RESUMABLE && oldest !== undefined) resumable.delete(oldest);
}

/** `POST /v1/chat/completions` and `POST /v1/completions`. */
export async function serveCompletion(
  serving: Serving,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  // Refusals echo the attempt too: on a shared connection nothing else identifies their request.
  res.setHeader('nutmegstack-attempt', headerOf(req, 'nutmegstack-attempt') ?? 'none');
  const text = (await readBody(req)).toString('utf8');
  if (!admitRequest(serving, req, res)) return;
  const body = JSON.parse(text) as CompletionBody;
  const prompt = promptOf(body);
  if (takeOne(serving.faults, 'lateAnswers')) await sleep(serving.faults.lateMs ?? LATE_MS);
  const { holding } = serving.state();
  if (!admitRequest(serving, req, res) || holding === undefined) return;
  const attempt = headerOf(req, 'nutmegstack-attempt') ?? 'none';
  const run = {
    attempt,
    fingerprint: hashParts(pathOf(req), text),
    group: holding.group,
    epoch: holding.epoch,
    at: Date.now(),
  };
  if (prompt.includes(CRASH_MARK)) {
    serving.record.runs.push({ ...run, end: Date.now() });
    serving.crash();
    return;
  }
  const chat = pathOf(req).startsWith('/v1/chat/');
  const completion = createCompletion(attempt, chat, body, Date.now());
  const salt = headerOf(req, 'nutmegstack-cache-salt') ?? '';
  const cachedTokens = Math.floor(serving.cache.use(salt, prompt) / CHARS_PER_TOKEN);
  keepResumable(serving, completion);
  submit(serving, req, res, { completion, from: 0, cachedTokens, run });
}

/** `POST /v1/resume`: continues an interrupted stream from event `from`. */
export function serveResume(
  serving: Serving,
  req: IncomingMessage,
  res: ServerResponse,
  body: { readonly attempt: string; readonly from: number },
): void {
  const completion = serving.resumable.get(body.attempt);
  if (serving.faults.resumable === false || completion === undefined) {
    sendJson(res, 404, { error: 'unknown-attempt' });
    return;
  }
  if (!admitRequest(serving, req, res)) return;
  submit(serving, req, res, { completion, from: body.from, cachedTokens: 0 });
}
