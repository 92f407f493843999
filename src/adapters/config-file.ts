/** Parses configuration files: YAML, of which JSON is a subset. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { parseDocument as parseYaml } from 'yaml';

import type { Json } from '../ports/platform';
import { fail } from '../utils/errors';
import type { StepError } from '../utils/errors';

/** Limit of alias expansion, so that a small file cannot expand to a huge document. */
const MAX_ALIASES = 100;

/** Parses a document. Error: `bad-request`, with line and column of each syntax error. */
export function parseDocument(text: string): Result<Json, StepError> {
  const source = parseYaml(text, { uniqueKeys: true, strict: true });
  const problems = [...source.errors, ...source.warnings];
  if (problems.length > 0) {
    const message = problems.map((problem) => problem.message.split('\n')[0] ?? '').join('; ');
    return err(fail('bad-request', message, { step: 'parse-config' }));
  }
  try {
    return ok(source.toJS({ maxAliasCount: MAX_ALIASES }) as Json);
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : 'document cannot be converted to JSON';
    return err(fail('bad-request', message, { step: 'parse-config', cause }));
  }
}
