/** Generates completions deterministically from model and prompt, so that tests can predict them. */

import { hashParts } from '../../src/utils/common';

/** The fields of a completion request that the stand-in reads. */
export interface CompletionBody {
  readonly model: string;
  readonly prompt?: string;
  readonly messages?: readonly { readonly role: string; readonly content: string }[];
  readonly stream?: boolean;
  readonly stream_options?: { readonly include_usage?: boolean };
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
}

/** A generated completion. */
export interface Answer {
  /** Their concatenation is the text. */
  readonly tokens: readonly string[];
  readonly finishReason: 'stop' | 'length';
  readonly promptTokens: number;
}

const WORDS = 'amber birch cedar delta ember fjord grove heath inlet jetty knoll lagoon'.split(' ');
const MIN_TOKENS = 6;
const TOKEN_RANGE = 20;
/** `tokens=40` in a prompt requests 40 tokens. */
const LENGTH_PATTERN = /\btokens=(\d+)\b/;
const CHARS_PER_TOKEN = 4;

/** The prompt as one text, of a chat or a plain completion. */
export function promptOf(body: CompletionBody): string {
  if (body.messages === undefined) return body.prompt ?? '';
  return body.messages.map(({ role, content }) => `${role}: ${content}`).join('\n');
}

function completionLength(prompt: string, digest: string): number {
  const requested = LENGTH_PATTERN.exec(prompt)?.[1];
  return requested === undefined
    ? MIN_TOKENS + (parseInt(digest.slice(0, 4), 16) % TOKEN_RANGE)
    : Number(requested);
}

/** Generates a completion. Its first token is a digest of model and prompt. */
export function answerOf(body: CompletionBody): Answer {
  const prompt = promptOf(body);
  const digest = hashParts(body.model, prompt);
  const length = completionLength(prompt, digest);
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

/** The text of the completion of a prompt. */
export function answerText(body: CompletionBody): string {
  return answerOf(body).tokens.join('');
}
