import { expect, it } from 'vitest';

import { createWorld, pass, requestOf } from './quarantine-world';
import type { Daemon } from './quarantine-world';

/** Groups of whose losses the daemon hears from peers. */
function collectLosses({ quarantine }: Daemon): string[] {
  const groups: string[] = [];
  quarantine.peerLosses.subscribe((group) => groups.push(group));
  return groups;
}

// Guards against the end of a server that only the daemon knows whose request met it.
it('losses that peers report with a strike are known once, and own ones are not among them', async () => {
  const { addDaemon } = createWorld();
  const [one, two] = [addDaemon(), addDaemon()];
  const [own, heard] = [collectLosses(one), collectLosses(two)];
  await one.crash(requestOf('crash'), 1);
  pass(one.quarantine, two.quarantine);
  pass(one.quarantine, two.quarantine);
  expect({ own, heard }).toEqual({ own: [], heard: ['g1'] });
});
