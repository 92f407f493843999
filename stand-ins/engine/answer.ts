/** The answer of a model: a function of the prompt alone, so that tests can check it whole. */

import { hashParts } from '../../src/utils/common';

/** What a completion request asks, as far as a stand-in cares. */
export interface CompletionBody {
  readonly model: string;
  readonly prompt?: string;
  readonly messages?: readonly { readonly role: string; readonly content: string }[];
  readonly stream?: boolean;
  readonly stream_options?: { readonly include_usage?: boolean };
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
}

export interface Answer {
  /** One token each; their concatenation is the text. */
  readonly tokens: readonly string[];
  readonly finishReason: 'stop' | 'length';
  readonly promptTokens: number;
}

const WORDS = 'amber birch cedar delta ember fjord grove heath inlet jetty knoll lagoon'.split(' ');
const SHORTEST = 6;
const SPREAD = 20;
/** A prompt with `tokens=40` is answered by 40 tokens. */
const WANTED_LENGTH = /\btokens=(\d+)\b/;
const CHARS_PER_TOKEN = 4;

/** The prompt as one text, whichever way it came. */
export function promptOf(body: CompletionBody): string {
  if (body.messages === undefined) return body.prompt ?? '';
  return body.messages.map(({ role, content }) => `${role}: ${content}`).join('\n');
}

function wantedLength(prompt: string, digest: string): number {
  const wanted = WANTED_LENGTH.exec(prompt)?.[1];
  return wanted === undefined
    ? SHORTEST + (parseInt(digest.slice(0, 4), 16) % SPREAD)
    : Number(wanted);
}

/** Answers a prompt. The first token carries a digest of model and prompt. */
export function answerOf(body: CompletionBody): Answer {
  const prompt = promptOf(body);
  const digest = hashParts(body.model, prompt);
  const length = wantedLength(prompt, digest);
  const limit = body.max_completion_tokens ?? body.max_tokens ?? length;
  const count = Math.min(length, limit);
  const start = parseInt(digest.slice(4, 8), 16);
  const tokens = Array.from({ length: count }, (_, i) =>
    i === 0 ? digest.slice(0, 8) : ` ${WORDS[(start + i * i) % WORDS.length] ?? ''}`,
  );
  return {
    tokens,
    finishReason: count < length ? 'length' : 'stop',
    promptTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
  };
}

/** The whole text of the answer to a prompt. */
export function answerText(body: CompletionBody): string {
  return answerOf(body).tokens.join('');
}
