/** Fuzz seeds derived from the current commit. */

import { execFileSync } from 'node:child_process';

import { hashText } from '../../src/core/routing/hash';

/** Returns seeds that are the same in every run of a commit and change with the next commit. */
export function seedsOfCommit(count: number): number[] {
  const commit = execFileSync('git', ['rev-parse', 'HEAD'], { encoding: 'utf8' });
  return Array.from({ length: count }, (_, n) => hashText(`${commit} ${n}`));
}
