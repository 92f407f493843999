/** Validation and resolution of configuration documents, and parsing of the examples. */

import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';

import { parseDocument } from '../src/adapters/config-file';
import { checkDocument } from '../src/core/config/check';
import { resolve } from '../src/core/config/resolve';
import type { ConfigVersion } from '../src/core/ids';
import { DOCUMENT, HASHES } from './support/config-documents';

function errorPathsOf(change: object): string[] {
  const result = checkDocument({ ...DOCUMENT, ...change });
  return result.isErr() ? result.error.map((error) => error.path) : [];
}

describe('checkDocument', () => {
  it('reports every invalid field by its path', () => {
    const paths = errorPathsOf({
      organisations: { rennes: { template: 'depot', share: -1, replicas: { query: 'two' } } },
      services: { ledger: { backends: ['localhost:80'], colour: 'red' } },
      extra: 1,
    });
    expect(paths.sort()).toEqual([
      'extra',
      'organisations.rennes.replicas.query',
      'organisations.rennes.share',
      'services.ledger.backends[0]',
      'services.ledger.colour',
    ]);
  });

  it.each([
    [
      'unknown template',
      { organisations: { rennes: { template: 'none' } } },
      'organisations.rennes.template',
    ],
    [
      'a template named like a property of Object.prototype',
      { organisations: { rennes: { template: 'constructor' } } },
      'organisations.rennes.template',
    ],
    [
      'unknown model',
      { organisations: { rennes: { template: 'depot', replicas: { none: 1 } } } },
      'organisations.rennes.replicas.none',
    ],
    [
      'unknown class',
      { organisations: { rennes: { template: 'depot', classes: { none: { worth: 1 } } } } },
      'organisations.rennes.classes.none',
    ],
    [
      'service that the template does not allow',
      { organisations: { rennes: { template: 'depot', services: ['billing'] } } },
      'organisations.rennes.services[0]',
    ],
    [
      'more than the template allows',
      { organisations: { rennes: { template: 'depot', share: 11 } } },
      'organisations.rennes.share',
    ],
  ])('refuses %s', (_, change, path) => {
    expect(errorPathsOf({ ...change, keys: [] })).toEqual([path]);
  });

  it('refuses a duplicate key, a caller key without a class, and an unknown organisation', () => {
    const keys = [
      { hash: HASHES.caller, role: 'operator' },
      { hash: HASHES.caller, role: 'operator' },
      { hash: HASHES.ownOperator, role: 'caller', organisation: 'rennes' },
      { hash: HASHES.operator, role: 'operator', organisation: 'none' },
      { hash: 'plain-key', role: 'operator' },
    ];
    expect(errorPathsOf({ keys })).toEqual(['keys[4].hash']);
    expect(errorPathsOf({ keys: keys.slice(0, 4) })).toEqual([
      'keys[1].hash',
      'keys[2].class',
      'keys[3].organisation',
    ]);
  });

  it('refuses a model in two templates', () => {
    const { depot } = DOCUMENT.templates;
    expect(errorPathsOf({ templates: { depot, other: depot } })).toEqual([
      'templates.other.models.query',
    ]);
  });
});

describe('resolve', () => {
  it('fills in templates, applies overrides and rounds pooled replicas up', () => {
    const doc = checkDocument(DOCUMENT)._unsafeUnwrap();
    const config = resolve(doc, 3 as ConfigVersion);
    expect(config.version).toBe(3);
    expect(config.models.query?.replicas).toBe(2);
    expect(config.organisations.rennes?.classes.pharmacist).toEqual({
      name: 'pharmacist',
      worth: 12,
      deadlineMs: 5000,
      maxInFlight: 8,
    });
    expect(config.organisations.brest?.classes.pharmacist?.worth).toBe(10);
    expect(config.keys[HASHES.caller]).toEqual({
      organisation: 'rennes',
      role: 'caller',
      class: 'pharmacist',
    });
  });

  it('finds nothing under a name from Object.prototype', () => {
    const config = resolve(checkDocument(DOCUMENT)._unsafeUnwrap(), 1 as ConfigVersion);
    expect(config.models.constructor).toBeUndefined();
    expect(Object.keys(config.organisations.rennes?.classes ?? {})).toEqual(['pharmacist']);
  });
});

describe('parseDocument', () => {
  it.each(['a: [1', 'a: 1\na: 2', 'a: *x', '--- 1\n--- 2'])('refuses %j', (text) => {
    expect(parseDocument(text)._unsafeUnwrapErr().code).toBe('bad-request');
  });

  it.each(['armor', 'umurage'])('reads the %s example, which passes the check', (name) => {
    const text = readFileSync(new URL(`../examples/${name}.yaml`, import.meta.url), 'utf8');
    const doc = checkDocument(parseDocument(text)._unsafeUnwrap())._unsafeUnwrap();
    expect(Object.keys(doc.organisations)).toHaveLength(10);
    const models = Object.values(resolve(doc, 1 as ConfigVersion).models);
    const sizes = models.map((model) => `${model.replicas}x${model.membersPerReplica}`);
    expect(sizes.sort()).toEqual(['1x2', '2x4']);
  });
});
