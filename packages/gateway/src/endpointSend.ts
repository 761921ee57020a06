/**
 * One send of a request or an item to an endpoint: the age of the view that it was decided on, and when it was written.
 */
import type { GatewayContext } from './gatewayContext.js';
import type { WriteGuard } from './ports.js';

/** The view of the endpoints on which sends are decided. */
export interface EndpointFreshness {
  /** Milliseconds since the state of the store that the view shows. */
  viewAgeMs(): number;
}

export type SendKind = 'request' | 'stream' | 'item';

export interface SendDetails {
  /** Age of the view when the send was decided. */
  readonly endpointsAgeMs: number;
  /** Time from the decision until the request was written; undefined if it was not. */
  readonly writtenAfterMs: number | undefined;
}

export class EndpointSend implements WriteGuard {
  private readonly _context: GatewayContext;
  private readonly _decidedMs: number;
  private readonly _viewAgeMs: number;
  private _writtenMs: number | undefined;

  constructor(context: GatewayContext, view: EndpointFreshness, kind: SendKind) {
    this._context = context;
    this._decidedMs = context.clock.nowMs();
    this._viewAgeMs = view.viewAgeMs();
    context.metrics.decisionAge.observe({ kind }, this._viewAgeMs / 1000);
  }

  mayWrite(): boolean {
    this._writtenMs = this._context.clock.nowMs();
    return true;
  }

  details(): SendDetails {
    return {
      endpointsAgeMs: Math.round(this._viewAgeMs),
      writtenAfterMs:
        this._writtenMs === undefined ? undefined : Math.round(this._writtenMs - this._decidedMs),
    };
  }
}
