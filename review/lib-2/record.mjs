// Notes what was sent, answered and run, for the record of a case.
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** `file`: where `save` writes the record, as the URL of a file. */
export function createRecord(file) {
  const startedAt = performance.now();
  const lines = [];
  const note = (what, fields = {}) => {
    const at = ((performance.now() - startedAt) / 1000).toFixed(3);
    const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
    lines.push([at.padStart(8), what, ...text].join(' '));
  };
  const save = () => writeFileSync(new URL('record.txt', file), `${lines.join('\n')}\n`);
  // An error outside the run itself shows nothing of the rule: the case could not run.
  process.once('uncaughtException', (err) => {
    note('could not run', { error: err.message });
    save();
    process.exit(2);
  });
  return { note, save };
}
