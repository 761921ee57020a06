/**
 * A call with a JSON body.
 */
import { request, type Dispatcher } from 'undici';
import { readBody } from './responseBody.js';

export interface JsonCall {
  readonly url: string;
  readonly method: Dispatcher.HttpMethod;
  /** Undefined for a call without a body. */
  readonly json: unknown;
  readonly dispatcher: Dispatcher;
  readonly signal: AbortSignal;
  /** A longer response fails the call. */
  readonly maxAnswerBytes: number;
}

export interface TextAnswer {
  readonly status: number;
  readonly text: string;
}

/** Throws if the connection fails or the response is too long. */
export async function callJson(call: JsonCall): Promise<TextAnswer> {
  const { url, method, json, dispatcher, signal, maxAnswerBytes } = call;
  const hasBody = json !== undefined;
  const response = await request(url, {
    method,
    body: hasBody ? JSON.stringify(json) : null,
    headers: hasBody ? { 'content-type': 'application/json' } : {},
    dispatcher,
    signal,
  });
  const text = (await readBody(response.body, maxAnswerBytes)).toString('utf8');
  return { status: response.statusCode, text };
}
