import { describe, expect, it } from 'vitest';

import {
  createRouteTable,
  identifyCaller,
  pickTarget,
  priorityOf,
} from '../../src/core/gateway/routes';
import { brandAs } from '../../src/core/ids';
import type { OrganisationId, ServiceId } from '../../src/core/ids';
import { makeConfig, makeRoute } from './support';

const organisation = { name: brandAs<OrganisationId>('depot'), apiKeys: ['k1', 'k2'], priority: 3 };

describe('the route of a request', () => {
  const table = createRouteTable(
    makeConfig({
      routes: [
        makeRoute({ name: 'short', prefix: '/a/' }),
        makeRoute({ name: 'long', prefix: '/a/b/' }),
        makeRoute({ name: 'other', host: 'b.example', prefix: '/' }),
      ],
    }),
  );

  it.each([
    ['a.example', '/a/x', 'short'],
    ['a.example', '/a/b/x', 'long'],
    ['a.example', '/a/b', 'short'],
    ['A.EXAMPLE', '/a/b/', 'long'],
    ['b.example', '/anything', 'other'],
    ['a.example', '/ab/x', undefined],
    ['c.example', '/a/x', undefined],
    ['a.example', 'no-slash', undefined],
  ])('is the one with the longest matching prefix: %s %s', (host, path, name) => {
    expect(table.find(host, path)?.name).toBe(name);
  });
});

describe('the caller of a request', () => {
  const table = createRouteTable(makeConfig({ organisations: [organisation] }));

  it('is the organisation that holds the key', () => {
    expect(identifyCaller(table, makeRoute(), 'k2')).toEqual({ kind: 'known', organisation });
  });

  it('is unknown with a wrong key or none', () => {
    expect(identifyCaller(table, makeRoute(), 'k3').kind).toBe('unknown-key');
    expect(identifyCaller(table, makeRoute()).kind).toBe('unknown-key');
  });

  it('may be anonymous on a public route and where there are no organisations', () => {
    expect(identifyCaller(table, makeRoute({ isPublic: true })).kind).toBe('anonymous');
    expect(identifyCaller(createRouteTable(makeConfig()), makeRoute()).kind).toBe('anonymous');
  });

  it('has the priority of its organisation, else that of the route', () => {
    expect(priorityOf(makeRoute({ priority: 1 }), organisation)).toBe(3);
    expect(priorityOf(makeRoute({ priority: 1 }), {})).toBe(1);
  });
});

describe('the service of a route', () => {
  const [x, y] = [brandAs<ServiceId>('x'), brandAs<ServiceId>('y')];
  const route = makeRoute({
    targets: [
      { service: x, weight: 90 },
      { service: y, weight: 10 },
    ],
  });

  it('follows the weights', () => {
    expect(pickTarget(route, 0)).toBe(x);
    expect(pickTarget(route, 0.899)).toBe(x);
    expect(pickTarget(route, 0.9)).toBe(y);
    expect(pickTarget(route, 0.999)).toBe(y);
  });

  it('is undefined if the route has no targets', () => {
    expect(pickTarget(makeRoute({ targets: [] }), 0.5)).toBeUndefined();
  });
});
