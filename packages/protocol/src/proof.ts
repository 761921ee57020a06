/**
 * HMAC proof that a peer holds the fleet key.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { PeerIdentity } from './channel.js';

const NONCE_BYTES = 16;

export function newNonce(): string {
  return randomBytes(NONCE_BYTES).toString('hex');
}

/** Covers the sender's role and identity, and the receiver's nonce. */
export function computeProof(
  fleetKey: string,
  role: 'client' | 'server',
  nonce: string,
  identity: PeerIdentity,
): string {
  const fields = [
    role,
    nonce,
    identity.hostId,
    identity.incarnation,
    identity.domain,
    identity.programVersion,
  ];
  return createHmac('sha256', fleetKey).update(fields.join('\n')).digest('hex');
}

/** Compares in constant time. */
export function isSameProof(left: string, right: string): boolean {
  const a = Buffer.from(left);
  const b = Buffer.from(right);
  return a.length === b.length && timingSafeEqual(a, b);
}
