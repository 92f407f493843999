/** An engine member: HTTP server for orders, status reports and, as rank 0, completions. */

import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { EngineReport } from '../../src/core/groups/types';
import type { InstanceId, ModelId } from '../../src/core/ids';
import { callJson } from '../shared/client';
import { passGate, sleep, takeOne, thawed } from '../shared/gate';
import { listen, pathOf, queryOf, readJson, sendJson } from '../shared/server';
import type { Handle, ListenAddress, Listening } from '../shared/server';
import { createBatch } from './batch';
import type { Batch } from './batch';
import { createPrefixCache } from './cache';
import { serveCompletion, serveResume } from './completions';
import type { Serving } from './completions';
import type { EngineFaults } from './faults';
import { startWatch } from './heartbeat';
import { createLaggingLoad } from './load';
import { applyOrder } from './orders';
import type { Holding, MemberState, OrderBody } from './orders';
import { createRecord, recordHolding } from './record';
import type { MemberRecord } from './record';

const MAX_WEIGHTS = 2;
const FETCH_RETRY_MS = 100;
const FETCH_TIMEOUT_MS = 600_000;

export interface MemberOptions {
  readonly id: InstanceId;
  readonly at: ListenAddress;
  /** Address of the platform, for the weights. */
  readonly platform?: string;
  readonly checksFencing: boolean;
  readonly tokenMs: number;
  readonly maxBatch: number;
  readonly maxQueue: number;
  readonly weightBytes: number;
  readonly lagMs: number;
  readonly restartMs: number;
  readonly beatMs: number;
  /** Called when the member starts or stops leaving. */
  readonly onLeaving: (leaving: boolean) => void;
}

export interface EngineMember {
  readonly instance: InstanceId;
  readonly address: string;
  readonly faults: EngineFaults;
  readonly record: MemberRecord;
  state(): MemberState;
  close(): Promise<void>;
}

type Route = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>;

function initialState(): MemberState {
  return { incarnation: randomUUID(), phase: 'idle', weights: [], fencing: 0, leaving: false };
}

/** Starts a member; resolves once it listens. */
export async function startMember(opts: MemberOptions): Promise<EngineMember> {
  const faults: EngineFaults = { tokenMs: opts.tokenMs, lagMs: opts.lagMs };
  const record = createRecord();
  const cache = createPrefixCache();
  const load = createLaggingLoad();
  const resumable: Serving['resumable'] = new Map();
  const batch: Batch = createBatch({
    maxBatch: opts.maxBatch,
    maxQueue: opts.maxQueue,
    tokenMs: () => faults.tokenMs ?? opts.tokenMs,
    faults,
  });
  let state = initialState();
  let listening: Listening | undefined;
  let closed = false;

  const setState = (to: MemberState): void => {
    state = to;
    recordHolding(record, to.holding, Date.now());
  };

  const breakGroup = (): void => {
    setState({ ...state, phase: 'broken' });
    batch.abortAll();
  };

  const serveIfReady = (holding: Holding | undefined): void => {
    if (holding === undefined || state.holding !== holding || state.phase !== 'loading') return;
    const ready = state.weights.includes(holding.model);
    const alone = holding.members.length <= 1;
    // Rank 0 serves once all others do, which its heartbeat finds out.
    if (ready && (holding.rank !== 0 || alone)) setState({ ...state, phase: 'serving' });
  };

  const addWeights = (model: ModelId): void => {
    const weights = [...state.weights.filter((held) => held !== model), model];
    setState({ ...state, weights: weights.slice(-MAX_WEIGHTS) });
  };

  const fetchWeights = async (model: ModelId): Promise<void> => {
    const { incarnation, holding } = state;
    while (!closed && state.incarnation === incarnation && state.holding === holding) {
      if (await transferWeights(opts, model)) {
        await thawed(faults);
        if (state.incarnation === incarnation) addWeights(model);
        serveIfReady(holding);
        return;
      }
      await sleep(FETCH_RETRY_MS);
    }
  };

  const crash = (): void => {
    if (listening === undefined) return;
    const old = listening;
    listening = undefined;
    batch.abortAll();
    cache.clear();
    resumable.clear();
    setState(initialState());
    void old
      .close()
      .then(() => sleep(faults.restartMs ?? opts.restartMs))
      .then(async () => {
        if (closed) return;
        listening = await listen(serve, { host: opts.at.host, port: old.port });
      });
  };

  const report = (): EngineReport => {
    const { incarnation, phase, holding, weights, fencing, leaving } = state;
    load.sample({ inFlight: batch.running(), queued: batch.queued() });
    const lagging = load.at(Date.now() - (faults.lagMs ?? 0));
    return {
      instance: opts.id,
      incarnation,
      state: phase,
      ...(holding === undefined ? {} : pickHolding(holding)),
      weights,
      inFlight: lagging.inFlight,
      queued: lagging.queued,
      fencing,
      leaving,
    };
  };

  const takeOrder: Route = async (req, res) => {
    const body = (await readJson(req)) as OrderBody;
    const inFlight = batch.running() + batch.queued();
    const now = Date.now();
    const result = applyOrder(state, body, { checksFencing: opts.checksFencing, inFlight, now });
    const { refused } = result;
    record.orders.push({ ...body, at: now, ...(refused === undefined ? {} : { refused }) });
    setState(result.state);
    if (result.abortsRequests === true) batch.abortAll();
    if (result.fetch !== undefined) void fetchWeights(result.fetch);
    serveIfReady(state.holding);
    if (takeOne(faults, 'loseOrderAnswers')) {
      req.socket.destroy();
      return;
    }
    if (refused === undefined) sendJson(res, 200, report());
    else sendJson(res, 409, { error: refused });
  };

  const takeFaults: Route = async (req, res) => {
    if (req.method === 'POST') Object.assign(faults, await readJson(req));
    const leaving = faults.leaving === true;
    if (leaving !== state.leaving) {
      setState({ ...state, leaving });
      opts.onLeaving(leaving);
    }
    sendJson(res, 200, { faults });
    if (faults.crash !== true) return;
    faults.crash = false;
    setImmediate(crash);
  };

  const serving: Serving = {
    state: () => state,
    faults,
    batch,
    cache,
    record,
    resumable,
    maxBatch: opts.maxBatch,
    crash,
  };

  const routes: Readonly<Record<string, Route>> = {
    'GET /status': (_req, res) => {
      sendJson(res, 200, report());
    },
    'POST /orders': takeOrder,
    'POST /v1/chat/completions': (req, res) => serveCompletion(serving, req, res),
    'POST /v1/completions': (req, res) => serveCompletion(serving, req, res),
    'POST /v1/resume': async (req, res) => {
      serveResume(serving, req, res, (await readJson(req)) as { attempt: string; from: number });
    },
    'GET /cache-events': (req, res) => {
      sendJson(res, 200, cache.eventsAfter(Number(queryOf(req, 'after') ?? 0)));
    },
  };

  /** Not subject to injected faults. */
  const testRoutes: Readonly<Record<string, Route>> = {
    'GET /record': (_req, res) => {
      sendJson(res, 200, record);
    },
    'GET /faults': takeFaults,
    'POST /faults': takeFaults,
  };

  const serve: Handle = async (req, res) => {
    const name = `${req.method ?? 'GET'} ${pathOf(req)}`;
    const testRoute = testRoutes[name];
    if (testRoute !== undefined) {
      await testRoute(req, res);
      return;
    }
    if (!(await passGate(faults, req, res))) return;
    const route = routes[name];
    if (route === undefined) sendJson(res, 404, { error: 'no such route' });
    else await route(req, res);
  };

  listening = await listen(serve, opts.at);
  const { address } = listening;
  const stopWatch = startWatch({
    beatMs: opts.beatMs,
    watched: () => watchedBy(state, faults),
    onAllServing: (holding) => {
      if (state.phase === 'loading' && state.weights.includes(holding.model)) {
        setState({ ...state, phase: 'serving' });
      }
    },
    onMissing: () => {
      if (state.phase !== 'loading') breakGroup();
    },
  });

  return {
    instance: opts.id,
    address,
    faults,
    record,
    state: () => state,
    close: async () => {
      closed = true;
      stopWatch();
      batch.abortAll();
      await listening?.close();
    },
  };
}

function pickHolding({ group, epoch, rank, model }: Holding): Omit<Holding, 'members'> {
  return { group, epoch, rank, model };
}

/** The group that this member watches as rank 0. */
function watchedBy({ phase, holding }: MemberState, faults: EngineFaults): Holding | undefined {
  if (faults.frozen === true || phase === 'broken' || holding === undefined) return undefined;
  return holding.rank === 0 && holding.members.length > 1 ? holding : undefined;
}

/** Fetches weights from the platform; false where the transfer failed. */
async function transferWeights(opts: MemberOptions, model: ModelId): Promise<boolean> {
  if (opts.platform === undefined) return true;
  try {
    const { status } = await callJson({
      address: opts.platform,
      method: 'POST',
      path: `/weights/${encodeURIComponent(model)}`,
      body: { bytes: opts.weightBytes },
      timeoutMs: FETCH_TIMEOUT_MS,
    });
    return status === 200;
  } catch {
    return false;
  }
}
