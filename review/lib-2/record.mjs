// Notes what was sent, answered and run; written to record.txt at the end.
import { performance } from 'node:perf_hooks';
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export function createRecord(caseUrl) {
  const path = join(dirname(fileURLToPath(caseUrl)), 'record.txt');
  const startedAt = performance.now();
  const lines = [];
  const note = (what, fields = {}) => {
    const at = ((performance.now() - startedAt) / 1000).toFixed(3);
    const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
    lines.push([at.padStart(8), what, ...text].join(' '));
  };
  return { note, save: () => writeFileSync(path, `${lines.join('\n')}\n`) };
}
