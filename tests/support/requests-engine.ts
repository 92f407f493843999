/** A scripted engine: the next script answers each call; without scripts it answers normally. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Server } from 'node:http';

import { listen } from './requests-fixture';

/** A request that the engine received. */
export interface EngineCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly body: Record<string, unknown>;
}

/** Answers one call. */
export type Script = (call: EngineCall) => void | Promise<void>;

/** A running scripted engine and the calls that it received. */
export interface ScriptedEngine {
  readonly address: string;
  readonly calls: EngineCall[];
  /** Scripts for the next calls. The last one is kept for all further calls. */
  scripts: Script[];
  readonly close: () => Promise<void>;
}

/** Returns the headers that an engine must echo. */
export function echoedHeaders(req: IncomingMessage): Record<string, string> {
  const names = ['nutmegstack-group', 'nutmegstack-epoch', 'nutmegstack-attempt'];
  return Object.fromEntries(names.map((name) => [name, String(req.headers[name])]));
}

/** Returns a stream frame with one choice. */
export function frame(content: string, finish: string | null = null): string {
  const choices = [{ index: 0, delta: { content }, finish_reason: finish }];
  return `data: ${JSON.stringify({ choices })}\n\n`;
}

/** The frame that ends a stream. */
export const END_MARK = 'data: [DONE]\n\n';

/** Writes the head of a streamed answer. */
export function startSse({ req, res }: EngineCall): void {
  res.writeHead(200, { ...echoedHeaders(req), 'content-type': 'text/event-stream' });
}

/** Returns the body of a complete chat completion. */
export function completionBody(content: string): string {
  const message = { role: 'assistant', content };
  return JSON.stringify({ choices: [{ index: 0, message, finish_reason: 'stop' }] });
}

/** Answers correctly, with a stream if requested. */
export const answerNormally: Script = (call) => {
  const { req, res, body } = call;
  if (body.stream !== true) {
    res.writeHead(200, { ...echoedHeaders(req), 'content-type': 'application/json' });
    res.end(completionBody('hello world'));
    return;
  }
  startSse(call);
  res.write(frame('hello '));
  res.write(frame('world', 'stop'));
  res.end(END_MARK);
};

/** Refuses the request and states that it did not run. */
export const refuse: Script = ({ req, res }) => {
  res.writeHead(503, { ...echoedHeaders(req), 'nutmegstack-refused': 'true' });
  res.end('{}');
};

/** Closes the connection without an answer. */
export const breakConnection: Script = ({ res }) => {
  res.destroy();
};

async function readJson(req: IncomingMessage): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
}

/** Starts a scripted engine. */
export async function createEngine(...scripts: Script[]): Promise<ScriptedEngine> {
  const calls: EngineCall[] = [];
  const state = { scripts };
  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const call = { req, res, body: await readJson(req) };
    calls.push(call);
    const script = state.scripts.length > 1 ? state.scripts.shift() : state.scripts[0];
    await (script ?? answerNormally)(call);
  };
  const { server, address } = await listen((req, res) => void serve(req, res));
  const engine = Object.assign(state, { address, calls, close: () => closeServer(server) });
  return engine;
}

/** Closes a server and its connections. */
export async function closeServer(server: Server): Promise<void> {
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
}
