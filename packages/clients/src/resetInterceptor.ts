/**
 * Tells a reset from the end of an answer that has no length.
 *
 * Such an answer ends with its connection, and the HTTP library takes a reset for that end: half an answer would look
 * whole, which one notices as a body that is too short under a good status. The library ends the answer while the
 * connection's reset is being told, so that an end at that very moment is none.
 */
import { DecoratorHandler, type Dispatcher } from 'undici';

type Handler = Dispatcher.DispatchHandler;
type Headers = Parameters<NonNullable<Handler['onResponseStart']>>[2];

/** Whether a connection's reset is being told at this moment. */
export class ResetTracker {
  private _isResetting = false;

  isResetting(): boolean {
    return this._isResetting;
  }

  /** A reset is told to all listeners of the connection, this one first; the moment ends with the present turn. */
  markReset(): void {
    this._isResetting = true;
    queueMicrotask(() => {
      this._isResetting = false;
    });
  }
}

/** Fails answers that a reset has cut, for every request of a dispatcher. */
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
    const error = new Error('the connection was reset in the middle of an answer without a length');
    this._inner.onResponseError?.(args[0], error);
  }

  onResponseError(...args: Parameters<NonNullable<Handler['onResponseError']>>): void {
    this._inner.onResponseError?.(...args);
  }
}

/** True if the head says where the body ends: by its length or in chunks. */
function hasLength(headers: Headers): boolean {
  const isChunked = String(headers['transfer-encoding'] ?? '')
    .toLowerCase()
    .includes('chunked');
  return isChunked || headers['content-length'] !== undefined;
}
