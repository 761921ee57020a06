/**
 * Base class of handlers that observe a request or intervene in it, and pass everything else on.
 */
import { DecoratorHandler, type Dispatcher } from 'undici';

export type Handler = Dispatcher.DispatchHandler;
/** The arguments of a handler's method. */
export type HandlerArguments<K extends keyof Handler> = Parameters<NonNullable<Handler[K]>>;

const FIRST_FINAL_STATUS = 200;

/** False for the status of an interim response, which precedes the final one. */
export function isFinal(status: number): boolean {
  return status >= FIRST_FINAL_STATUS;
}

/**
 * Leaves out interim responses, of which there may be any number before a response: `DecoratorHandler` allows one start
 * only.
 */
export class PassThroughHandler implements Handler {
  private readonly _inner: Handler;

  constructor(handler: Handler) {
    this._inner = new DecoratorHandler(handler);
  }

  onRequestStart(...args: HandlerArguments<'onRequestStart'>): void {
    this._inner.onRequestStart?.(...args);
  }

  onRequestUpgrade(...args: HandlerArguments<'onRequestUpgrade'>): void {
    this._inner.onRequestUpgrade?.(...args);
  }

  onResponseStart(...args: HandlerArguments<'onResponseStart'>): void {
    const [, status] = args;
    if (isFinal(status)) this._inner.onResponseStart?.(...args);
  }

  onResponseData(...args: HandlerArguments<'onResponseData'>): void {
    this._inner.onResponseData?.(...args);
  }

  onResponseEnd(...args: HandlerArguments<'onResponseEnd'>): void {
    this._inner.onResponseEnd?.(...args);
  }

  onResponseError(...args: HandlerArguments<'onResponseError'>): void {
    this._inner.onResponseError?.(...args);
  }
}
