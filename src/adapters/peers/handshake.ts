/**
 * Mutual authentication of two daemons by a shared secret. Each side answers the other's nonce with an HMAC
 * over both nonces, both names and its own role, so that a proof is valid for one link and one direction only.
 * The listener sends its proof last.
 */

import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import * as z from 'zod';

import { brandAs } from '../../core/ids';
import type { DaemonId } from '../../core/ids';
import { isAddress } from '../../utils/address';

const PROTOCOL = 'nutmegstack-peer-1';
const NONCE_BYTES = 16;

/** Which side of the connection a daemon is on. */
export type LinkRole = 'dialler' | 'listener';

const helloSchema = z.strictObject({
  kind: z.literal('hello'),
  protocol: z.literal(PROTOCOL),
  id: z
    .string()
    .min(1)
    .max(256)
    .transform((text) => brandAs<DaemonId>(text)),
  address: z.string().refine(isAddress),
  process: z.string().max(64),
  nonce: z.string().length(NONCE_BYTES * 2),
});

const proofSchema = z.strictObject({ kind: z.literal('proof'), mac: z.string().max(128) });

/** First frame of each side. */
export type Hello = z.output<typeof helloSchema>;
/** Second frame of each side. */
export type Proof = z.output<typeof proofSchema>;

/** A daemon's claimed identity; `process` distinguishes processes with the same id. */
export interface PeerName {
  readonly id: DaemonId;
  readonly address: string;
  readonly process: string;
}

/** Creates this side's hello with a new nonce. */
export function makeHello(name: PeerName): Hello {
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  return { kind: 'hello', protocol: PROTOCOL, ...name, nonce };
}

export function parseHello(frame: unknown): Hello | undefined {
  return helloSchema.safeParse(frame).data;
}

export function parseProof(frame: unknown): Proof | undefined {
  return proofSchema.safeParse(frame).data;
}

function macOf(secret: string, role: LinkRole, prover: Hello, verifier: Hello): string {
  const text = JSON.stringify([PROTOCOL, role, prover, verifier]);
  return createHmac('sha256', secret).update(text).digest('hex');
}

/** Creates the proof of the side with `role`. */
export function makeProof(secret: string, role: LinkRole, own: Hello, other: Hello): Proof {
  return { kind: 'proof', mac: macOf(secret, role, own, other) };
}

/** Whether `proof` is valid for the other side, whose role is `role`; compares in constant time. */
export function checkProof(
  secret: string,
  role: LinkRole,
  own: Hello,
  other: Hello,
  proof: Proof,
): boolean {
  const expected = Buffer.from(macOf(secret, role, other, own));
  const given = Buffer.from(proof.mac);
  return expected.length === given.length && timingSafeEqual(expected, given);
}
