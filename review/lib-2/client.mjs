// A client that speaks to a daemon over a connection of its own.
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';

import { HOST, KEY } from './config.mjs';

/**
 * A client of streams that reads its answer as RFC 9112, 6.3 and 8 tell: how it ended, and whether that shows a whole
 * answer.
 */
export function call(address, { request, model, path = '/stream/x', deadlineMs = 8000 }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const chunks = [];
    let error;
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('error', (err) => {
      error = err.code;
    });
    socket.on('close', () => resolve(readAnswer(Buffer.concat(chunks).toString('latin1'), error)));
    socket.on('end', () => socket.end());
    socket.write(
      [
        `POST ${path} HTTP/1.1`,
        `Host: ${HOST}`,
        `Authorization: Bearer ${KEY}`,
        `X-Nutmegstack-Request-Id: ${request}`,
        `X-Nutmegstack-Deadline-Ms: ${deadlineMs}`,
        `X-Nutmegstack-Model: ${model}`,
        'X-Nutmegstack-Token-Count: 700,240',
        `X-Nutmegstack-Prompt-Prefix: ${request}:700`,
        'Content-Length: 0',
        'Connection: close',
        '\r\n',
      ].join('\r\n'),
    );
  });
}

function readAnswer(text, error) {
  const at = text.indexOf('\r\n\r\n');
  if (at < 0) return { status: 0, end: error ?? 'closed', isWhole: false, events: 0 };
  const [head, rest] = [text.slice(0, at), text.slice(at + 4)];
  const status = Number(head.slice(9, 12));
  const headerOf = (name) => new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1];
  const isChunked = /chunked/i.test(headerOf('transfer-encoding') ?? '');
  const length = headerOf('content-length');
  let isWhole = error === undefined;
  if (isChunked) isWhole = /(^|\r\n)0\r\n\r\n$/.test(rest);
  else if (length !== undefined) isWhole = rest.length >= Number(length);
  return {
    status,
    framing: isChunked ? 'chunks' : length === undefined ? 'close' : 'length',
    isSigned: headerOf('x-nutmegstack-response-signature') !== undefined,
    end: error ?? 'closed',
    isWhole,
    events: [...rest.matchAll(/^id: \d+$/gm)].length,
  };
}
