/** Seeds that are the same in every run of one commit, others in the next. */

import { execFileSync } from 'node:child_process';

import { hashText } from '../../src/core/routing/hash';

export function seedsOfCommit(count: number): number[] {
  const commit = execFileSync('git', ['rev-parse', 'HEAD'], { encoding: 'utf8' });
  return Array.from({ length: count }, (_, n) => hashText(`${commit} ${n}`));
}
