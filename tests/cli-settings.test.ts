import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';

import { DESCRIPTIONS } from '../src/adapters/telemetry/descriptions';
import { readSettings, SETTINGS, variableOf } from '../src/cli/settings';
import type { Environment, Flags } from '../src/cli/settings';

const ENV = {
  NUTMEGSTACK_ID: 'e1',
  NUTMEGSTACK_ZONE: 'rennes',
  NUTMEGSTACK_PLATFORM: '10.0.0.1:7000',
  NUTMEGSTACK_PEER_SECRET: 'sixteen letters!',
};

function faultsOf(flags: Flags, env: Environment): string[] {
  return readSettings(flags, env)
    ._unsafeUnwrapErr()
    .map(({ flag, variable, message }) => `${flag} ${variable} ${message}`);
}

describe('settings of serve', () => {
  it('come from flags, then variables, then defaults', () => {
    const settings = readSettings({ zone: 'brest' }, ENV)._unsafeUnwrap();
    expect(settings).toMatchObject({
      id: 'e1',
      zone: 'brest',
      listen: '127.0.0.1:8080',
      seeds: [],
    });
    expect(settings).not.toHaveProperty('otlpUrl');
  });

  it('keep a flag that looks like a number as text', () => {
    expect(readSettings({ id: '007' }, ENV)._unsafeUnwrap().id).toBe('007');
  });

  it('are all reported at once, by flag and variable', () => {
    expect(faultsOf({ listen: 'localhost:80', seed: '-1' }, { NUTMEGSTACK_SEEDS: 'a:1' })).toEqual([
      '--id NUTMEGSTACK_ID must be given',
      '--zone NUTMEGSTACK_ZONE must be given',
      expect.stringMatching(/^--listen NUTMEGSTACK_LISTEN must be an IP number/),
      expect.stringMatching(/^--seeds NUTMEGSTACK_SEEDS must be an IP number/),
      '--peer-secret NUTMEGSTACK_PEER_SECRET must be given',
      '--platform NUTMEGSTACK_PLATFORM must be given',
      '--seed NUTMEGSTACK_SEED must be a whole number',
    ]);
  });

  it('require all peer TLS files or none', () => {
    expect(faultsOf({ 'peer-tls-cert': 'a.pem' }, ENV)).toEqual([
      expect.stringContaining('--peer-tls-key'),
      expect.stringContaining('--peer-tls-ca'),
    ]);
    const flags = { 'peer-tls-cert': 'a', 'peer-tls-key': 'b', 'peer-tls-ca': 'c' };
    const { peerTls } = readSettings(flags, ENV)._unsafeUnwrap();
    expect(peerTls).toEqual({ certFile: 'a', keyFile: 'b', caFile: 'c' });
  });

  it('are all documented for operators', () => {
    const page = readFileSync('docs/OPERATORS.md', 'utf8');
    for (const { flag } of Object.values(SETTINGS)) {
      expect(page).toContain(`--${flag}`);
      expect(page).toContain(variableOf(flag));
    }
  });
});

describe('metrics', () => {
  const sources = readdirSync('src', { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts'))
    .map((file) => readFileSync(join('src', file), 'utf8'));
  const names = sources.flatMap((text) => text.match(/(?<=')nutmegstack_[a-z_]+(?=')/g) ?? []);

  it.each([...new Set(names)])('%s is documented for operators', (name) => {
    expect(readFileSync('docs/OPERATORS.md', 'utf8')).toContain(name);
    expect(DESCRIPTIONS).toHaveProperty(name);
  });
});
