/** Wire format of completions: stream events and complete bodies. */

import { answerOf } from './answer';
import type { Answer, CompletionBody } from './answer';

/** A completion being sent. Its events are deterministic, so that a stream can be resumed. */
export interface Completion {
  readonly attempt: string;
  readonly chat: boolean;
  readonly body: CompletionBody;
  readonly answer: Answer;
  /** Seconds since the Unix epoch. */
  readonly created: number;
}

export function createCompletion(
  attempt: string,
  chat: boolean,
  body: CompletionBody,
  now: number,
): Completion {
  return { attempt, chat, body, answer: answerOf(body), created: Math.floor(now / 1000) };
}

export const LAST_EVENT = 'data: [DONE]\n\n';

function envelope({ attempt, chat, body, created }: Completion, streamed: boolean): object {
  const kind = streamed ? 'chat.completion.chunk' : 'chat.completion';
  return {
    id: `${chat ? 'chatcmpl' : 'cmpl'}-${attempt}`,
    object: chat ? kind : 'text_completion',
    created,
    model: body.model,
  };
}

function choice({ chat }: Completion, text: string, first: boolean, finish: string | null): object {
  const delta = first ? { role: 'assistant', content: text } : { content: text };
  const part = chat ? { delta: finish === null ? delta : {} } : { text };
  return { index: 0, ...part, logprobs: null, finish_reason: finish };
}

function usage({ answer }: Completion): object {
  const completion = answer.tokens.length;
  return {
    prompt_tokens: answer.promptTokens,
    completion_tokens: completion,
    total_tokens: answer.promptTokens + completion,
  };
}

function event(data: object): string {
  return `data: ${JSON.stringify(data)}\n\n`;
}

function wantsUsage({ body }: Completion): boolean {
  return body.stream_options?.include_usage === true;
}

/** Number of events before `[DONE]`: one per token, finish reason, usage where requested. */
export function eventCount(completion: Completion): number {
  return completion.answer.tokens.length + 1 + (wantsUsage(completion) ? 1 : 0);
}

/** Event `index` of the stream. */
export function eventAt(completion: Completion, index: number): string {
  const { tokens, finishReason } = completion.answer;
  const head = envelope(completion, true);
  const token = tokens[index];
  if (token !== undefined) {
    return event({ ...head, choices: [choice(completion, token, index === 0, null)] });
  }
  if (index === tokens.length) {
    return event({ ...head, choices: [choice(completion, '', false, finishReason)] });
  }
  return event({ ...head, choices: [], usage: usage(completion) });
}

/** The body of an unstreamed response. */
export function renderBody(completion: Completion): string {
  const { chat, answer } = completion;
  const text = answer.tokens.join('');
  const part = chat ? { message: { role: 'assistant', content: text, refusal: null } } : { text };
  const only = { index: 0, ...part, logprobs: null, finish_reason: answer.finishReason };
  return JSON.stringify({
    ...envelope(completion, false),
    choices: [only],
    usage: usage(completion),
  });
}
