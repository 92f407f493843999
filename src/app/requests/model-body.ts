/** Parses the fields of an OpenAI-style request body that the system needs. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';

import type { StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';

const message = z.looseObject({ role: z.string(), content: z.unknown() });

const common = z.looseObject({
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

const chat = common.extend({ messages: z.array(message).min(1) });
const completion = common.extend({ prompt: z.unknown() });

/** Paths of model calls with the schemas of their bodies. */
export const MODEL_PATHS = {
  '/v1/chat/completions': chat,
  '/v1/completions': completion,
} as const;

/** Path of a model call. */
export type ModelPath = keyof typeof MODEL_PATHS;

/** The parsed fields of a body. */
export interface ModelBody {
  readonly model: string;
  readonly stream: boolean;
  /** The prompt as texts, in order: one per message, or the prompt itself. */
  readonly promptParts: readonly string[];
  readonly maxTokens: number | undefined;
}

function badBody(text: string): StepError {
  return fail('bad-request', text, { step: 'entry' });
}

function parseJson(body: Uint8Array): Result<unknown, StepError> {
  try {
    return ok(JSON.parse(Buffer.from(body).toString()));
  } catch {
    return err(badBody('the body is not valid JSON'));
  }
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value ?? '');
}

function partsOf(body: z.infer<typeof chat> | z.infer<typeof completion>): readonly string[] {
  if (!Array.isArray(body.messages)) return [textOf(body.prompt)];
  return body.messages.map(textOf);
}

/**
 * Parses the body of a model call. Errors: `bad-request`, with the names of the invalid fields but
 * never their values.
 */
export function readModelBody(path: ModelPath, body: Uint8Array): Result<ModelBody, StepError> {
  const json = parseJson(body);
  if (json.isErr()) return err(json.error);
  const parsed = MODEL_PATHS[path].safeParse(json.value);
  if (!parsed.success) {
    const fields = parsed.error.issues.map((issue) => issue.path.join('.') || 'body');
    return err(badBody(`missing or invalid fields: ${fields.join(', ')}`));
  }
  const { model, stream, max_tokens, max_completion_tokens } = parsed.data;
  return ok({
    model,
    stream: stream ?? false,
    promptParts: partsOf(parsed.data),
    maxTokens: max_completion_tokens ?? max_tokens ?? undefined,
  });
}
