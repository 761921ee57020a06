/**
 * One send of a request or an item to an endpoint, from the decision to the write.
 *
 * Every way to an endpoint passes here twice: before the request is given to a connection, and right before its first byte is
 * written. In between it may wait for a connection, or in a paused process, while the endpoint reports that it is leaving.
 */
import type { Endpoint } from './endpoint.js';
import type { GatewayContext } from './gatewayContext.js';
import type { EndpointReply, WriteGuard } from './ports.js';

/** The view of the endpoints on which sends are decided. */
export interface SendAuthority {
  /** Milliseconds since the state of the store that the view shows. */
  viewAgeMs(): number;
  /** Returns false while the view may miss that an endpoint is leaving, and the store may still answer. */
  isCurrent(): boolean;
  /** Resolves once the view is current; soon also if the store does not answer. */
  whenCurrent(): Promise<void>;
}

export type SendKind = 'request' | 'stream' | 'item';

export interface SendOptions {
  readonly kind: SendKind;
  readonly endpoint: Endpoint;
  readonly authority: SendAuthority;
  /** Returns false once the sender itself may not send any more, such as the owner of an ended batch. */
  readonly isWanted: () => boolean;
}

export interface SendDetails {
  /** Age of the view when the send was decided. */
  readonly endpointsAgeMs: number;
  /** Time from the decision until the request was written; undefined if it was not. */
  readonly writtenAfterMs: number | undefined;
  /** Why it was not written. */
  readonly withheld: WithheldReason | undefined;
}

/** `stale`: the view may miss a leaving. `unwanted`: the sender may not send any more. */
export type WithheldReason = 'leaving' | 'stale' | 'unwanted';

export type Withheld = Extract<EndpointReply, { readonly kind: 'not-run' }>;

const WITHHELD: Withheld = { kind: 'not-run', reason: 'withheld', load: undefined };

export class EndpointSend implements WriteGuard {
  private readonly _context: GatewayContext;
  private readonly _options: SendOptions;
  private readonly _decidedMs: number;
  private readonly _viewAgeMs: number;
  private _writtenMs: number | undefined;
  private _withheld: WithheldReason | undefined;

  constructor(context: GatewayContext, options: SendOptions) {
    this._context = context;
    this._options = options;
    this._decidedMs = context.clock.nowMs();
    this._viewAgeMs = options.authority.viewAgeMs();
    context.metrics.decisionAge.observe({ kind: options.kind }, this._viewAgeMs / 1000);
  }

  /** Gives the request to a connection once the view is current, unless it must be withheld. */
  async attempt<T>(give: () => Promise<T>): Promise<T | Withheld> {
    const { authority } = this._options;
    if (!authority.isCurrent()) await authority.whenCurrent();
    return this._check() ? give() : WITHHELD;
  }

  mayWrite(): boolean {
    if (!this._check()) return false;
    this._writtenMs = this._context.clock.nowMs();
    return true;
  }

  details(): SendDetails {
    return {
      endpointsAgeMs: Math.round(this._viewAgeMs),
      writtenAfterMs:
        this._writtenMs === undefined ? undefined : Math.round(this._writtenMs - this._decidedMs),
      withheld: this._withheld,
    };
  }

  private _check(): boolean {
    this._withheld = this._reasonToWithhold();
    if (this._withheld === undefined) return true;
    const { kind } = this._options;
    this._context.metrics.withheldSends.inc({ kind, reason: this._withheld });
    return false;
  }

  private _reasonToWithhold(): WithheldReason | undefined {
    const { endpoint, authority, isWanted } = this._options;
    if (endpoint.isLeaving) return 'leaving';
    if (!authority.isCurrent()) return 'stale';
    return isWanted() ? undefined : 'unwanted';
  }
}
