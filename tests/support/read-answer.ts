/** Reads answers of the upstream client. */

import type { UpstreamResult } from '../../src/adapters/upstream/upstream';

export interface ReadAnswer {
  readonly text: string;
  /** Whether the answer ended as a complete one does. */
  readonly isWhole: boolean;
}

/** Reads an answer to its end, or until it is broken off; rejects if there is none. */
export async function readAnswer(result: UpstreamResult): Promise<ReadAnswer> {
  if (result.kind !== 'answered') throw new Error(result.error.message);
  let text = '';
  try {
    for await (const chunk of result.res) text += String(chunk);
  } catch {
    return { text, isWhole: false };
  }
  return { text, isWhole: result.res.complete && !result.hasFailed() };
}
