/**
 * Interceptor that fails close-delimited responses whose connection was reset. undici treats the reset as the regular
 * end, so a truncated body would look complete. It ends the response while the socket emits the reset.
 */
import { DecoratorHandler, type Dispatcher } from 'undici';

type Handler = Dispatcher.DispatchHandler;
type Headers = Parameters<NonNullable<Handler['onResponseStart']>>[2];

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

class ResetHandler implements Handler {
  private readonly _inner: Handler;
  private readonly _resets: ResetTracker;
  private _hasLength = false;

  constructor(handler: Handler, resets: ResetTracker) {
    this._inner = new DecoratorHandler(handler);
    this._resets = resets;
  }

  onRequestStart(...[controller, context]: Parameters<NonNullable<Handler['onRequestStart']>>): void {
    this._inner.onRequestStart?.(controller, context);
  }

  onResponseStart(...args: Parameters<NonNullable<Handler['onResponseStart']>>): void {
    this._hasLength = hasLength(args[2]);
    this._inner.onResponseStart?.(...args);
  }

  onResponseData(...args: Parameters<NonNullable<Handler['onResponseData']>>): void {
    this._inner.onResponseData?.(...args);
  }

  onResponseEnd(...args: Parameters<NonNullable<Handler['onResponseEnd']>>): void {
    if (this._hasLength || !this._resets.isResetting()) {
      this._inner.onResponseEnd?.(...args);
      return;
    }
    const error = new Error('connection reset before the end of a close-delimited response');
    this._inner.onResponseError?.(args[0], error);
  }

  onResponseError(...args: Parameters<NonNullable<Handler['onResponseError']>>): void {
    this._inner.onResponseError?.(...args);
  }
}

/** True if the headers delimit the body, by `Content-Length` or chunked encoding. */
function hasLength(headers: Headers): boolean {
  const isChunked = String(headers['transfer-encoding'] ?? '')
    .toLowerCase()
    .includes('chunked');
  return isChunked || headers['content-length'] !== undefined;
}
