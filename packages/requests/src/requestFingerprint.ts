/** Fingerprints that recognize a repeated request at any host, independent of its identifier and headers. */
import { digest, strongDigest } from '@fuchsiahitch/base';

export interface RequestIdentity {
  /** The client account or else the presented credential; empty for neither. */
  readonly caller: string;
  readonly host: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Uint8Array | undefined;
  /** True for work that was handed in for later, which is owed whatever happened to the endpoints that ran it. */
  readonly isBackground?: boolean;
}

/**
 * Returns the prefix of the fingerprint, which covers the request line and body length and does not need the body.
 * Lookups compare it first, since the complete fingerprint is slow to compute for a body of several megabytes.
 */
export function targetDigest(request: RequestIdentity): string {
  const { host, method, target } = request;
  const bodyBytes = request.body?.length ?? 0;
  return digest(`${method} ${host} ${target} ${bodyBytes}`);
}

/** Returns the fingerprint, which covers the caller and the complete body. */
export function requestFingerprint(request: RequestIdentity): string {
  const { caller, host, method, target, body } = request;
  const identity = strongDigest([caller, host, method, target, body ?? '']);
  return `${targetDigest(request)}-${identity}`;
}

/** Returns the `targetDigest` part of a fingerprint. */
export function targetOfFingerprint(fingerprint: string): string {
  return fingerprint.slice(0, fingerprint.indexOf('-'));
}
