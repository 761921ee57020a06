/**
 * Interceptor that fails close-delimited responses whose connection was reset.
 *
 * Such a response ends when its connection closes, and undici takes a reset for that end, so a truncated body would look
 * complete. undici ends the response synchronously while the socket emits the reset; an end in that turn is an error.
 */
import { DecoratorHandler, type Dispatcher } from 'undici';

type Handler = Dispatcher.DispatchHandler;
type Headers = Parameters<NonNullable<Handler['onResponseStart']>>[2];

/** Whether a connection reset is being emitted in the current turn of the event loop. */
export class ResetTracker {
  private _isResetting = false;

  isResetting(): boolean {
    return this._isResetting;
  }

  /** Must be called by the socket's first listener. The mark is cleared in a microtask, after the other listeners ran. */
  markReset(): void {
    this._isResetting = true;
    queueMicrotask(() => {
      this._isResetting = false;
    });
  }
}

export function resetInterceptor(moment: ResetTracker): Dispatcher.DispatcherComposeInterceptor {
  return dispatch => (options, handler) => dispatch(options, new ResetHandler(handler, moment));
}

class ResetHandler implements Handler {
  private readonly _inner: Handler;
  private readonly _resets: ResetTracker;
  private _hasLength = false;

  constructor(handler: Handler, moment: ResetTracker) {
    this._inner = new DecoratorHandler(handler);
    this._resets = moment;
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
