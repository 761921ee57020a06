/**
 * A single HTTP call on a new connection. On a reused, unresponsive connection, the call could be delivered late, after
 * the calls of a new duty holder.
 */
import { Client } from 'undici';
import { isNotSentError } from './httpTools.js';
import { readBody } from './responseBody.js';

const MAX_ANSWER_BYTES = 64 * 1024;

export interface SingleCall {
  readonly origin: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly json: unknown;
}

/** Both count from the start of the call. Nothing is sent if no connection is established within `connectMs`. */
export interface SingleCallTimeouts {
  readonly connectMs: number;
  readonly answerMs: number;
}

/** `unreached`: not sent. `unknown`: it may have been executed, or may still be. */
export type SingleCallResult =
  | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'unreached' }
  | { readonly kind: 'unknown' };

export async function postOnNewConnection(
  call: SingleCall,
  timeouts: SingleCallTimeouts,
): Promise<SingleCallResult> {
  const client = new Client(call.origin, { connect: { timeout: timeouts.connectMs }, pipelining: 1 });
  try {
    const answer = await client.request({
      path: call.path,
      method: 'POST',
      headers: { ...call.headers, 'Content-Type': 'application/json' },
      body: JSON.stringify(call.json),
      signal: AbortSignal.timeout(timeouts.answerMs),
    });
    await readBody(answer.body, MAX_ANSWER_BYTES);
    return { kind: 'answered', status: answer.statusCode };
  } catch (thrown) {
    return { kind: isNotSentError(thrown) ? 'unreached' : 'unknown' };
  } finally {
    await client.destroy();
  }
}
