/**
 * The connections to other hosts by address, created on first use.
 */
import { Deadline, err, PROGRAM_VERSION, type Result } from '@fuchsiahitch/base';
import { PeerLink, type CallDefinition, type CallError, type PeerIdentity } from '@fuchsiahitch/protocol';
import type { HostContext } from './hostContext.js';
import type { PeerCaller } from './hostPorts.js';

export class PeerDirectory implements PeerCaller {
  private readonly _context: HostContext;
  private readonly _links = new Map<string, PeerLink>();

  constructor(context: HostContext) {
    this._context = context;
  }

  identity(): PeerIdentity {
    const { hostId, domain, incarnation } = this._context;
    return { hostId, domain, incarnation: String(incarnation), programVersion: PROGRAM_VERSION };
  }

  async call<Q, A>(
    address: string,
    call: CallDefinition<Q, A>,
    request: Q,
    timeoutMs: number,
    trace?: string,
  ): Promise<Result<A, CallError>> {
    if (address === '') return err({ kind: 'not-sent', text: 'the host has no known address' });
    const deadline = Deadline.after(this._context.clock, timeoutMs);
    return this._link(address).call(call, request, deadline, trace);
  }

  close(): void {
    for (const link of this._links.values()) link.close();
  }

  private _link(address: string): PeerLink {
    const existing = this._links.get(address);
    if (existing) return existing;
    const { settings, clock, metrics } = this._context;
    const link = new PeerLink({
      address,
      fleetKey: settings['fleet-key'],
      identity: this.identity(),
      clock,
      counters: metrics,
    });
    this._links.set(address, link);
    return link;
  }
}
