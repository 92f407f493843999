/** Requests to a model: checked, queued, answered as a stream or whole. */

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
import { createCompletion, eventAt, eventCount, LAST_EVENT, wholeAnswer } from './wire';
import type { Completion } from './wire';

const CRASH_MARK = 'crash-me';
const CHARS_PER_TOKEN = 4;
/** Uncached prompt tokens that one step works through. */
const PREFILL_TOKENS_PER_STEP = 2048;
const RESUMABLE_KEPT = 256;
const LATE_MS = 1000;

/** What answering needs of its member. */
export interface Serving {
  state(): MemberState;
  readonly faults: EngineFaults;
  readonly batch: Batch;
  readonly cache: PrefixCache;
  readonly record: MemberRecord;
  /** Answers that can be resumed, by attempt. */
  readonly resumable: Map<string, Completion>;
  readonly maxBatch: number;
  crash(): void;
}

/** How one answer is spoilt, decided when it begins. */
interface Spoilt {
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

/** Whether this member may answer; answers the request where it may not. */
function mayServe(serving: Serving, req: IncomingMessage, res: ServerResponse): boolean {
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

function spoil(faults: EngineFaults): Spoilt {
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
  more: Readonly<Record<string, string | number>>,
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
    ...more,
  });
}

function streamOut(res: ServerResponse, completion: Completion, spoilt: Spoilt): void {
  if (spoilt.wrongLength) {
    res.destroy();
    return;
  }
  if (!spoilt.truncate) res.write(LAST_EVENT);
  if (spoilt.duplicate) {
    for (let i = 0; i < eventCount(completion); i += 1) res.write(eventAt(completion, i));
    res.write(LAST_EVENT);
  }
  res.end();
}

function wholeOut(res: ServerResponse, text: string, spoilt: Spoilt): void {
  if (spoilt.wrongLength) {
    res.write(text, () => {
      res.destroy();
    });
    return;
  }
  const half = spoilt.truncate ? text.slice(0, text.length / 2) : text;
  res.end(spoilt.duplicate ? half + text : half);
}

/** The job of a stream: one event a step, none while the reader is behind. */
function streamJob(
  serving: Serving,
  res: ServerResponse,
  opts: JobOptions,
): Pick<Job, 'begin' | 'step'> {
  const { completion } = opts;
  const spoilt = spoil(serving.faults);
  const count = eventCount(completion);
  const end = spoilt.truncate ? Math.floor(count / 2) : count;
  const finishAt = completion.answer.tokens.length;
  let index = opts.from;
  return {
    begin: () => {
      writeHead(serving, res, opts, { 'content-type': 'text/event-stream' });
    },
    step: () => {
      if (res.writableNeedDrain) return 'wait';
      if (spoilt.noFinish && index === finishAt) index += 1;
      if (index < end) res.write(eventAt(completion, index));
      index += 1;
      if (index < end) return 'more';
      streamOut(res, completion, spoilt);
      return 'end';
    },
  };
}

/** The job of a whole answer: as many steps, then one body. */
function wholeJob(
  serving: Serving,
  res: ServerResponse,
  opts: JobOptions,
): Pick<Job, 'begin' | 'step'> {
  const spoilt = spoil(serving.faults);
  let left = opts.completion.answer.tokens.length;
  return {
    begin: () => undefined,
    step: () => {
      left -= 1;
      if (left > 0) return 'more';
      const text = wholeAnswer(opts.completion);
      const promised = Buffer.byteLength(text) + (spoilt.wrongLength ? 16 : 0);
      const plain = !spoilt.truncate && !spoilt.duplicate;
      writeHead(serving, res, opts, {
        'content-type': 'application/json',
        ...(plain ? { 'content-length': promised } : {}),
      });
      wholeOut(res, text, spoilt);
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
  const work = (streamed ? streamJob : wholeJob)(serving, res, opts);
  const uncached = Math.max(0, completion.answer.promptTokens - cachedTokens);
  let prefillLeft = opts.from > 0 ? 0 : Math.floor(uncached / PREFILL_TOKENS_PER_STEP);
  const job: Job = {
    priority: Number(headerOf(req, 'nutmegstack-priority') ?? 0),
    deadline: Number(headerOf(req, 'nutmegstack-deadline') ?? Infinity),
    begin: () => {
      if (run !== undefined) serving.record.runs.push(run);
      work.begin();
    },
    step: () => {
      if (prefillLeft > 0) {
        prefillLeft -= 1;
        return 'more';
      }
      return work.step();
    },
    expire: () => {
      refuse(res, 'deadline');
    },
    tear: () => res.destroy(),
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
  if (resumable.size > RESUMABLE_KEPT && oldest !== undefined) resumable.delete(oldest);
}

/** `POST /v1/chat/completions` and `POST /v1/completions`. */
export async function serveCompletion(
  serving: Serving,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  // Refusals echo the attempt as well: on a shared connection nothing else tells whose they are.
  res.setHeader('nutmegstack-attempt', headerOf(req, 'nutmegstack-attempt') ?? 'none');
  const text = (await readBody(req)).toString('utf8');
  if (!mayServe(serving, req, res)) return;
  const body = JSON.parse(text) as CompletionBody;
  const prompt = promptOf(body);
  if (takeOne(serving.faults, 'lateAnswers')) await sleep(serving.faults.lateMs ?? LATE_MS);
  const { holding } = serving.state();
  if (!mayServe(serving, req, res) || holding === undefined) return;
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

/** `POST /v1/resume`: goes on with a stream whose connection broke. */
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
  if (!mayServe(serving, req, res)) return;
  submit(serving, req, res, { completion, from: body.from, cachedTokens: 0 });
}
