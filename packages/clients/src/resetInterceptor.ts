/**
 * Interceptor that fails close-delimited responses whose connection was reset. undici treats the reset as the regular
 * end, so a truncated body would look complete. It ends the response while the socket emits the reset.
 */
import type { Dispatcher } from 'undici';
import { PassThroughHandler, type Handler, type HandlerArguments } from './passThroughHandler.js';

type Headers = HandlerArguments<'onResponseStart'>[2];

/** Knows whether a socket is currently emitting a connection reset. */
export class ResetTracker {
  private _isResetting = false;

  isResetting(): boolean {
    return this._isResetting;
  }

  /** Must be called by the socket's first listener. A microtask clears the mark after the other listeners have run. */
  markReset(): void {
    this._isResetting = true;
    queueMicrotask(() => {
      this._isResetting = false;
    });
  }
}

export function resetInterceptor(resets: ResetTracker): Dispatcher.DispatcherComposeInterceptor {
  return dispatch => (options, handler) => dispatch(options, new ResetHandler(handler, resets));
}

class ResetHandler extends PassThroughHandler {
  private readonly _resets: ResetTracker;
  private _hasLength = false;

  constructor(handler: Handler, resets: ResetTracker) {
    super(handler);
    this._resets = resets;
  }

  override onResponseStart(...args: HandlerArguments<'onResponseStart'>): void {
    this._hasLength = hasLength(args[2]);
    super.onResponseStart(...args);
  }

  override onResponseEnd(...args: HandlerArguments<'onResponseEnd'>): void {
    if (this._hasLength || !this._resets.isResetting()) {
      super.onResponseEnd(...args);
      return;
    }
    const error = new Error('connection reset before the end of a close-delimited response');
    super.onResponseError(args[0], error);
  }
}

/** True if the headers delimit the body, by `Content-Length` or chunked encoding. */
function hasLength(headers: Headers): boolean {
  const isChunked = String(headers['transfer-encoding'] ?? '')
    .toLowerCase()
    .includes('chunked');
  return isChunked || headers['content-length'] !== undefined;
}
