/** Validates answers that are not streamed. */

import { isRecord } from '../../utils/is';

/** Why a body is not a complete answer. */
export type AnswerFault = 'not-json' | 'no-choices' | 'wrong-index' | 'no-finish-reason';

function parse(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}

function choiceFault(choice: unknown, index: number): AnswerFault | undefined {
  if (!isRecord(choice) || choice.index !== index) return 'wrong-index';
  return typeof choice.finish_reason === 'string' ? undefined : 'no-finish-reason';
}

/** Returns the first reason why `body` is not a complete answer to an OpenAI-style call. */
export function checkBufferedAnswer(body: Buffer): AnswerFault | undefined {
  const answer = parse(body);
  if (!isRecord(answer)) return 'not-json';
  const choices: unknown = answer.choices;
  if (!Array.isArray(choices) || choices.length === 0) return 'no-choices';
  return choices.map(choiceFault).find((fault) => fault !== undefined);
}
