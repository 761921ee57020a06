/**
 * Fingerprints that recognize a repeated request, also at another host or with other identifiers and headers.
 */
import { digest, strongDigest } from '@fuchsiahitch/base';

/** The properties that determine an endpoint's work on a request. */
export interface RequestIdentity {
  /** Identifies the caller: the client account or else the credential that was presented; empty for neither. */
  readonly caller: string;
  readonly host: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Uint8Array | undefined;
  /** The body's length if known without the body. */
  readonly bodyBytes?: number;
}

/**
 * Returns a digest of the request line and the body's length, which is the prefix of the fingerprint. Cheap to compute:
 * use it as a filter before the fingerprint, which reads the body.
 */
export function targetDigest(request: RequestIdentity): string {
  const { host, method, target } = request;
  const bodyBytes = request.bodyBytes ?? request.body?.length ?? 0;
  return digest(`${method} ${host} ${target} ${bodyBytes}`);
}

/** Returns a digest of a request's identity, the same at every host. Reads the complete body. */
export function requestFingerprint(request: RequestIdentity): string {
  const { caller, host, method, target, body } = request;
  const identity = strongDigest([caller, host, method, target, body ?? '']);
  return `${targetDigest(request)}-${identity}`;
}

/** Returns the `targetDigest` part of a fingerprint. */
export function targetOfFingerprint(fingerprint: string): string {
  return fingerprint.slice(0, fingerprint.indexOf('-'));
}
