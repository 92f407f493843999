/** Reads configuration files: YAML, and so JSON. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { parseDocument as parseYaml } from 'yaml';

import type { Json } from '../ports/platform';
import { fail } from '../utils/errors';
import type { StepError } from '../utils/errors';

/** Nodes that aliases may expand to, so that a small file stays small. */
const MAX_ALIASES = 100;

/** The document in `text`. Error: `bad-request`, with line and column of each fault. */
export function parseDocument(text: string): Result<Json, StepError> {
  const source = parseYaml(text, { uniqueKeys: true, strict: true });
  const faults = [...source.errors, ...source.warnings];
  if (faults.length > 0) {
    const message = faults.map((fault) => fault.message.split('\n')[0] ?? '').join('; ');
    return err(fail('bad-request', message, { step: 'parse-config' }));
  }
  try {
    return ok(source.toJS({ maxAliasCount: MAX_ALIASES }) as Json);
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : 'not readable';
    return err(fail('bad-request', message, { step: 'parse-config', cause }));
  }
}
