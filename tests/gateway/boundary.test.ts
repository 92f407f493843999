import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';

import { HEADERS, PATHS } from '../../platform/names';

function sources(dir: string): string[] {
  return readdirSync(dir, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => join(dir, name));
}

/** Names used only by the platform; `last-event-id` is the published name of a header. */
const NAMES = [...Object.values(HEADERS), ...Object.values(PATHS)].filter((name) =>
  /nutmegstack|^\/api\/|^server-/.test(name),
);

describe('the product', () => {
  it.each(sources('src'))('%s contains no names of the platform', (path) => {
    const text = readFileSync(path, 'utf8').toLowerCase();
    expect(NAMES.filter((name) => text.includes(name))).toEqual([]);
    expect(text).not.toMatch(
      /from '[./]*\/platform\/(main|names|store|servers|config|ingress|settings|reload|body)'/,
    );
  });

  it('keeps the platform adapter below its size limit', () => {
    const lines = sources('platform').map((path) => readFileSync(path, 'utf8').split('\n').length);
    expect(lines.reduce((sum, count) => sum + count, 0)).toBeLessThan(1_500);
  });
});
