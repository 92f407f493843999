/** Submitting configuration changes: versions, repeats, table faults, an organisation's scope. */

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { scopeDocument } from '../src/core/config/scope';
import type { ConfigVersion } from '../src/core/ids';
import type { Json } from '../src/ports/platform';
import { amend, createConfigWorld, shareIn } from './support/config-daemons';
import type { ConfigDaemon, ConfigWorld } from './support/config-daemons';
import { DOCUMENT, documentWith } from './support/config-documents';

const V1 = 1 as ConfigVersion;

let world: ConfigWorld;
let daemon: ConfigDaemon;

beforeEach(async () => {
  world = createConfigWorld();
  daemon = world.addDaemon('a');
  await daemon.config.start();
});

afterEach(() => world.stop());

async function codeOf(change: object): Promise<string> {
  const done = await daemon.config.submit({ changeId: 'x', document: DOCUMENT, ...change });
  return done.isOk() ? 'ok' : done.error.code;
}

describe('submit', () => {
  it('accepts the first document, then amendments of the version in force', async () => {
    expect((await amend(daemon, 'c1', 1, 0)).version).toBe(1);
    expect((await amend(daemon, 'c2', 2, 1)).version).toBe(2);
    expect(shareIn(daemon.config)).toBe(2);
    expect((await daemon.config.versions())._unsafeUnwrap()).toEqual([1, 2]);
    const old = await daemon.config.read(V1);
    expect(old._unsafeUnwrap().document).toEqual(documentWith(1));
  });

  it('refuses an amendment of an older version and names the current one', async () => {
    await amend(daemon, 'c1', 1, 0);
    await amend(daemon, 'c2', 2, 1);
    await expect(amend(daemon, 'c3', 3, 1)).rejects.toThrow(/version 2 is in force/);
    expect(shareIn(daemon.config)).toBe(2);
  });

  it('refuses a complete document without a version once one is in force', async () => {
    await amend(daemon, 'c1', 1, 0);
    expect(await codeOf({ document: documentWith(2) })).toBe('precondition-required');
  });

  it('accepts a document that is in force already, without a new version', async () => {
    await amend(daemon, 'c1', 1, 0);
    const done = await daemon.config.submit({ changeId: 'c2', document: documentWith(1) });
    expect(done._unsafeUnwrap().version).toBe(1);
    expect((await daemon.config.versions())._unsafeUnwrap()).toEqual([1]);
  });

  it('gives the same answer to a repeated change, even after newer versions', async () => {
    await amend(daemon, 'c1', 1, 0);
    await amend(daemon, 'c2', 2, 1);
    expect((await amend(daemon, 'c1', 1, 0)).version).toBe(1);
    expect(shareIn(daemon.config)).toBe(2);
  });

  it('refuses a change id that was used for different content', async () => {
    await amend(daemon, 'c1', 1, 0);
    expect(await codeOf({ changeId: 'c1', document: documentWith(2), ifVersion: V1 })).toBe(
      'key-reused',
    );
  });

  it('names the invalid field of a document', async () => {
    const done = await daemon.config.submit({
      changeId: 'x',
      document: { templates: {}, oops: 1 },
    });
    expect(done._unsafeUnwrapErr().message).toMatch(/oops: unknown field/);
  });

  it('accepts one of several concurrent changes and refuses the others', async () => {
    await amend(daemon, 'c0', 1, 0);
    const other = world.addDaemon('b');
    const submissions = [2, 3, 4, 5].map((share, i) =>
      amend(i % 2 === 0 ? daemon : other, `c${share}`, share, 1).then(
        () => share,
        () => undefined,
      ),
    );
    const winners = (await Promise.all(submissions)).filter((share) => share !== undefined);
    expect(winners).toHaveLength(1);
    expect(shareIn(daemon.config) ?? shareIn(other.config)).toBe(winners[0]);
  });
});

describe('submit with a failing table', () => {
  it('recognises by its change id that a change took effect when the answer was lost', async () => {
    daemon.faults.lostAnswers = 1;
    expect((await amend(daemon, 'c1', 1, 0)).version).toBe(1);
    daemon.faults.lostAnswers = 1;
    expect((await amend(daemon, 'c2', 2, 1)).version).toBe(2);
    expect(shareIn(daemon.config)).toBe(2);
    expect((await daemon.config.versions())._unsafeUnwrap()).toEqual([1, 2]);
  });

  it('retries when the request itself was lost', async () => {
    daemon.faults.lostRequests = 1;
    expect((await amend(daemon, 'c1', 1, 0)).version).toBe(1);
  });

  it('applies a change once when a late request arrives after the retry', async () => {
    daemon.faults.lateRequests = 1;
    await amend(daemon, 'c1', 1, 0);
    await amend(daemon, 'c2', 2, 1);
    world.table.settle();
    expect((await daemon.config.read())._unsafeUnwrap().version).toBe(2);
  });

  it('reports that nothing changed when the table is down', async () => {
    daemon.faults.down = true;
    expect(await codeOf({})).toBe('store-unavailable');
  });

  it('reports an unknown outcome when the rows cannot be read again', async () => {
    daemon.faults.lostAnswers = 1000;
    const submitted = codeOf({ changeId: 'c1', document: documentWith(1) });
    while (world.table.counts.commits === 0) await Promise.resolve();
    daemon.faults.down = true;
    expect(await submitted).toBe('store-unknown');
    daemon.faults.down = false;
    daemon.faults.lostAnswers = 0;
    expect((await amend(daemon, 'c1', 1, 0)).version).toBe(1);
  });

  it('deletes the oldest version when a new one is added', async () => {
    for (let n = 0; n < 203; n += 1) await amend(daemon, `c${n}`, 1 + (n % 9), n);
    const versions = (await daemon.config.versions())._unsafeUnwrap();
    expect(versions[0]).toBe(4);
    expect(versions).toHaveLength(200);
  });
});

describe("an organisation's operator", () => {
  const organisation = 'rennes';

  function ownAmended(base: Json, share: number): Json {
    const doc = structuredClone(base) as typeof DOCUMENT;
    doc.organisations.rennes.share = share;
    return doc;
  }

  beforeEach(async () => {
    await daemon.config.submit({ changeId: 'c1', document: DOCUMENT });
  });

  it('changes its own parameters in the complete document or in its own part of it', async () => {
    const complete = ownAmended(DOCUMENT, 4);
    const first = { changeId: 'o1', ifVersion: V1, document: complete, organisation };
    expect((await daemon.config.submit(first))._unsafeUnwrap().version).toBe(2);
    const view = ownAmended(scopeDocument(complete, organisation), 5);
    const second = { ...first, changeId: 'o2', ifVersion: 2 as ConfigVersion, document: view };
    expect((await daemon.config.submit(second))._unsafeUnwrap().version).toBe(3);
    expect(daemon.config.current().organisations.rennes?.share).toBe(5);
    expect(daemon.config.current().organisations.brest).toBeDefined();
  });

  it.each([
    [
      'another organisation',
      { organisations: { ...DOCUMENT.organisations, brest: { template: 'depot', share: 9 } } },
    ],
    ['a service', { services: {} }],
    ['keys', { keys: [] }],
    [
      'its template',
      { organisations: { ...DOCUMENT.organisations, rennes: { template: 'other' } } },
    ],
  ])('may not change %s', async (_, change) => {
    const document = { ...DOCUMENT, ...change };
    expect(await codeOf({ ifVersion: V1, document, organisation })).toBe('forbidden');
  });

  it('reads nothing of another organisation', () => {
    const view = JSON.stringify(scopeDocument(DOCUMENT, 'brest'));
    expect(view).not.toMatch(/rennes|127\.0\.0\.1|backends/);
  });
});
