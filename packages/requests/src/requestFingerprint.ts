/**
 * What makes two requests the same when one comes again: under another identifier, at another host, with other headers.
 */
import { digest, strongDigest } from '@fuchsiahitch/base';

/** What an endpoint's work on a request depends on. */
export interface RequestIdentity {
  /** What tells callers apart: the client account or, where none is known, the credential that was brought; empty for neither. */
  readonly caller: string;
  readonly host: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Uint8Array | undefined;
  /** The body's length, where it is known without the body. */
  readonly bodyBytes?: number;
}

/**
 * A digest of the request line and the body's length, with which the fingerprints of all requests begin that share them. It
 * takes microseconds where a fingerprint reads a body of megabytes: whoever looks for a few known requests compares this first.
 */
export function targetDigest(request: RequestIdentity): string {
  const { host, method, target } = request;
  const bodyBytes = request.bodyBytes ?? request.body?.length ?? 0;
  return digest(`${method} ${host} ${target} ${bodyBytes}`);
}

/** A digest of a request's identity, the same at every host. Reads the whole body. */
export function requestFingerprint(request: RequestIdentity): string {
  const { caller, host, method, target, body } = request;
  const identity = strongDigest([caller, host, method, target, body ?? '']);
  return `${targetDigest(request)}-${identity}`;
}

/** The digest of request line and length with which a fingerprint begins. */
export function targetOfFingerprint(fingerprint: string): string {
  return fingerprint.slice(0, fingerprint.indexOf('-'));
}
