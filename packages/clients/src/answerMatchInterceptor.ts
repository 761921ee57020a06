/**
 * Interceptor that ends the connection of a response that belongs to another request.
 *
 * A late or extra response arrives where the next one is expected, so that the order of responses proves nothing.
 */
import type { Dispatcher } from 'undici';
import { PassThroughHandler, type Handler, type HandlerArguments } from './passThroughHandler.js';

/** A header that each response repeats from its request. */
export interface EchoedHeader {
  /** In lower case. */
  readonly name: string;
  /** Undefined for a request without the header, whose response must not have it either. */
  readonly value: string | undefined;
}

export interface MatchedRequestOptions {
  /** A response without this header and value fails the request with `ForeignAnswerError`. */
  readonly echo?: EchoedHeader | undefined;
}

/** The response belongs to another request, or names none. The request was sent and may have been executed. */
export class ForeignAnswerError extends Error {
  /** Undefined if the response names no request. */
  readonly answeredId: string | undefined;

  constructor(answeredId: string | undefined) {
    super('the response belongs to another request');
    this.answeredId = answeredId;
  }
}

export function answerMatchInterceptor(): Dispatcher.DispatcherComposeInterceptor {
  return dispatch => (options, handler) => {
    const { echo } = options as MatchedRequestOptions;
    return dispatch(options, echo ? new MatchingHandler(handler, echo) : handler);
  };
}

class MatchingHandler extends PassThroughHandler {
  private readonly _echo: EchoedHeader;

  constructor(handler: Handler, echo: EchoedHeader) {
    super(handler);
    this._echo = echo;
  }

  override onResponseStart(...args: HandlerArguments<'onResponseStart'>): void {
    const [controller, , headers] = args;
    const given = headers[this._echo.name];
    if (given === this._echo.value) super.onResponseStart(...args);
    else controller.abort(new ForeignAnswerError(given?.toString()));
  }
}
