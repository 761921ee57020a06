/**
 * Interceptor that asks right before a request is written whether it may still be sent.
 *
 * A request may wait for a connection after it was dispatched, and its process may be paused meanwhile.
 */
import { DecoratorHandler, type Dispatcher } from 'undici';
import { WITHHELD_CODE } from './httpTools.js';

type Handler = Dispatcher.DispatchHandler;

export interface GuardedRequestOptions extends Dispatcher.RequestOptions {
  /** If it returns false, the request fails with `WithheldError` and no byte of it is sent. */
  readonly mayWrite?: (() => boolean) | undefined;
}

/** The request was certainly not sent. */
export class WithheldError extends Error {
  readonly code = WITHHELD_CODE;

  constructor() {
    super('withheld before it was written');
  }
}

export function writeGuardInterceptor(): Dispatcher.DispatcherComposeInterceptor {
  return dispatch => (options, handler) => {
    const { mayWrite } = options as Partial<GuardedRequestOptions>;
    return dispatch(options, mayWrite ? new GuardedHandler(handler, mayWrite) : handler);
  };
}

class GuardedHandler implements Handler {
  private readonly _inner: Handler;
  private readonly _mayWrite: () => boolean;

  constructor(handler: Handler, mayWrite: () => boolean) {
    this._inner = new DecoratorHandler(handler);
    this._mayWrite = mayWrite;
  }

  onRequestStart(...[controller, context]: Parameters<NonNullable<Handler['onRequestStart']>>): void {
    this._inner.onRequestStart?.(controller, context);
    if (!controller.aborted && !this._mayWrite()) controller.abort(new WithheldError());
  }

  onResponseStart(...args: Parameters<NonNullable<Handler['onResponseStart']>>): void {
    this._inner.onResponseStart?.(...args);
  }

  onResponseData(...args: Parameters<NonNullable<Handler['onResponseData']>>): void {
    this._inner.onResponseData?.(...args);
  }

  onResponseEnd(...args: Parameters<NonNullable<Handler['onResponseEnd']>>): void {
    this._inner.onResponseEnd?.(...args);
  }

  onResponseError(...args: Parameters<NonNullable<Handler['onResponseError']>>): void {
    this._inner.onResponseError?.(...args);
  }
}
