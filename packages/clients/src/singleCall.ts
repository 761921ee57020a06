/**
 * One call on a connection of its own.
 *
 * On a kept connection that has fallen silent a call arrives when the link heals, after those of whoever took over meanwhile; one
 * that finds no connection in time is never sent.
 */
import { Client } from 'undici';
import { isNotSentError } from './httpTools.js';

export interface SingleCall {
  readonly origin: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly json: unknown;
}

/** `connectMs`: without a connection by then nothing is sent. `answerMs` counts from the same moment. */
export interface SingleCallTimeouts {
  readonly connectMs: number;
  readonly answerMs: number;
}

/** `unreached`: certainly not sent. `unknown`: it may have been carried out, or will be. */
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
    await answer.body.dump();
    return { kind: 'answered', status: answer.statusCode };
  } catch (thrown) {
    return { kind: isNotSentError(thrown) ? 'unreached' : 'unknown' };
  } finally {
    await client.destroy();
  }
}
