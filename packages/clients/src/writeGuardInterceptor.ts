/**
 * Interceptor that asks right before a request is written whether it may still be sent.
 *
 * A request may wait for a connection after it was dispatched, and its process may be paused meanwhile.
 */
import type { Dispatcher } from 'undici';
import { WITHHELD_CODE } from './httpTools.js';
import { PassThroughHandler, type Handler, type HandlerArguments } from './passThroughHandler.js';

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

class GuardedHandler extends PassThroughHandler {
  private readonly _mayWrite: () => boolean;

  constructor(handler: Handler, mayWrite: () => boolean) {
    super(handler);
    this._mayWrite = mayWrite;
  }

  override onRequestStart(...args: HandlerArguments<'onRequestStart'>): void {
    super.onRequestStart(...args);
    const [controller] = args;
    if (!controller.aborted && !this._mayWrite()) controller.abort(new WithheldError());
  }
}
