/**
 * Client for HTTP services other than engines. Some of their calls are not idempotent.
 */
import { request, type Dispatcher } from 'undici';
import {
  firstHeaderValue,
  isNotSentError,
  LEAVING_HEADER,
  NOT_RUN_HEADER,
  retryAfterMsOf,
} from './httpTools.js';
import { discardBody, readBody } from './responseBody.js';

/** As much as a caller may send. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

export interface ServiceRequest {
  readonly url: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
}

/** `not-run`: nothing was sent, or the service refused. `broken`: may have run. */
export type ServiceResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: Buffer;
      readonly isLeaving: boolean;
    }
  | {
      readonly kind: 'not-run';
      /** No connection was established. */
      readonly isUnreachable: boolean;
      readonly isLeaving: boolean;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'broken' }
  | { readonly kind: 'cancelled' };

export interface ServiceClient {
  /** `onHead` is called when the response headers arrive. */
  call(service: ServiceRequest, onHead: () => void, signal: AbortSignal): Promise<ServiceResult>;
}

export class HttpServiceClient implements ServiceClient {
  private readonly _agent: Dispatcher;

  constructor(agent: Dispatcher) {
    this._agent = agent;
  }

  async call(service: ServiceRequest, onHead: () => void, signal: AbortSignal): Promise<ServiceResult> {
    try {
      const response = await request(`${service.url}${service.path}`, {
        method: service.method,
        headers: service.headers,
        body: service.body ?? null,
        dispatcher: this._agent,
        signal,
      });
      const isLeaving = firstHeaderValue(response.headers, LEAVING_HEADER) !== '';
      if (firstHeaderValue(response.headers, NOT_RUN_HEADER) !== '') {
        discardBody(response.body);
        return {
          kind: 'not-run',
          isUnreachable: false,
          isLeaving,
          retryAfterMs: retryAfterMsOf(response.headers),
        };
      }
      onHead();
      const body = await readBody(response.body, MAX_ANSWER_BYTES);
      const contentType = firstHeaderValue(response.headers, 'content-type');
      return { kind: 'answered', status: response.statusCode, contentType, body, isLeaving };
    } catch (thrown) {
      if (isNotSentError(thrown))
        return { kind: 'not-run', isUnreachable: true, isLeaving: false, retryAfterMs: 0 };
      return signal.aborted ? { kind: 'cancelled' } : { kind: 'broken' };
    }
  }
}
