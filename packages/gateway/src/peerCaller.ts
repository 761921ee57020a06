/**
 * Calls to the other hosts of the fleet.
 */
import { Deadline, err, type Result } from '@fuchsiahitch/base';
import { PeerLink, type CallDefinition, type CallError, type PeerLinkOptions } from '@fuchsiahitch/protocol';

export interface PeerCaller {
  call<Q, A>(
    address: string,
    call: CallDefinition<Q, A>,
    request: Q,
    timeoutMs: number,
  ): Promise<Result<A, CallError>>;
  close(): void;
}

/** Uses one connection for each peer, opened by the first call. */
export class PeerLinks implements PeerCaller {
  private readonly _options: Omit<PeerLinkOptions, 'address'>;
  private readonly _links = new Map<string, PeerLink>();

  constructor(options: Omit<PeerLinkOptions, 'address'>) {
    this._options = options;
  }

  async call<Q, A>(
    address: string,
    call: CallDefinition<Q, A>,
    request: Q,
    timeoutMs: number,
  ): Promise<Result<A, CallError>> {
    if (address === '') return err({ kind: 'not-sent', text: 'no such host' });
    const deadline = Deadline.after(this._options.clock, timeoutMs);
    return this._link(address).call(call, request, deadline);
  }

  close(): void {
    for (const link of this._links.values()) link.close();
  }

  private _link(address: string): PeerLink {
    const known = this._links.get(address);
    if (known) return known;
    const link = new PeerLink({ ...this._options, address });
    this._links.set(address, link);
    return link;
  }
}
