import { connect } from 'node:net';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { startPlatform } from '../stand-ins/users-platform/start';
import type { PlatformStandIn } from '../stand-ins/users-platform/start';
import { MOST_SPOILED_BYTES, SPOILED } from '../stand-ins/users-platform/spoils';
import type { SpoiledKind } from '../stand-ins/users-platform/spoils';
import { PATHS } from '../platform/names';
import { pause } from '../src/utils/pause';
import { ENGINE } from './gateway/support';

const HOST = '127.0.0.1';
const FIRST_PORT = 24_680;
const POLL_MS = 5;

let platform: PlatformStandIn;

beforeAll(async () => {
  const options = { host: HOST, firstPort: FIRST_PORT, engine: ENGINE };
  platform = await startPlatform({ ...options, domains: [1], plainServers: 1 });
});

afterAll(() => {
  platform.close();
});

/** Reads an answer until it has as many bytes, or ends; returns its beginning and the number of bytes. */
function readAnswer(port: number, path: string, atMost: number) {
  return new Promise<{ readonly text: string; readonly bytes: number }>((resolve) => {
    let text = '';
    const socket = connect(port, HOST);
    socket.on('data', (chunk) => {
      if (text.length < 1_000) text += chunk.toString('latin1');
      if (socket.bytesRead >= atMost) socket.destroy();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve({ text, bytes: socket.bytesRead });
    });
    socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\nX-Nutmegstack-Request-Id: r\r\n\r\n`);
  });
}

const PLAIN = FIRST_PORT + 1;
const MEMBER = FIRST_PORT + 2;
const ENDLESS: readonly SpoiledKind[] = ['interim-heads', 'empty-lines-first', 'endless-refusal'];

describe('a server that spoils an answer', () => {
  // Guards against faults that end by themselves before a reader would have to stop.
  it.each(ENDLESS)('sends %s until the reader closes, and then stops', async (kind) => {
    const end = platform.spoils.begin(kind, 1);
    const runs = platform.runs.length;
    const { bytes } = await readAnswer(PLAIN, '/safe/x', 1_000_000);
    end();
    expect(bytes).toBeGreaterThanOrEqual(1_000_000);
    const answer = platform.spoils.sent.at(-1);
    const sent = answer?.bytes ?? 0;
    await pause(POLL_MS * 10);
    expect(answer?.bytes).toBeLessThanOrEqual(sent + 1_000_000);
    expect(answer?.bytes).toBeLessThan(MOST_SPOILED_BYTES);
    expect(platform.runs.length - runs).toBe(kind === 'endless-refusal' ? 0 : 1);
  });

  it('stops at its limit where the reader does not close', async () => {
    platform.spoils.begin('endless-report', 1);
    const { text, bytes } = await readAnswer(MEMBER, PATHS.report, Infinity);
    expect(text).toContain('200 OK');
    expect(bytes).toBeGreaterThan(MOST_SPOILED_BYTES);
    expect(platform.spoils.sent.at(-1)?.bytes).toBeGreaterThanOrEqual(MOST_SPOILED_BYTES);
  });

  // Guards against a cut answer that a reader may wait for.
  it.each(['cut-head', 'cut-body'] as const)('sends %s and closes the connection', async (kind) => {
    const end = platform.spoils.begin(kind, 1);
    const { text } = await readAnswer(PLAIN, '/safe/x', Infinity);
    end();
    expect(text.startsWith('HTTP/1.1 200 OK')).toBe(true);
    expect(text.includes('\r\n\r\n')).toBe(kind === 'cut-body');
  });

  it('sends a status line that begins with zeros, or a switch of protocols, once', async () => {
    for (const kind of ['status-zero', 'protocol-switch'] as const) {
      const end = platform.spoils.begin(kind, 1);
      const { text } = await readAnswer(PLAIN, '/safe/x', 1);
      end();
      expect(text.startsWith(SPOILED[kind].first.slice(0, 12))).toBe(true);
    }
    const { text } = await readAnswer(PLAIN, '/safe/x', 1);
    expect(text.startsWith('HTTP/1.1 200')).toBe(true);
  });
});
