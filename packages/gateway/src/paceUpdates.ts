/**
 * Sends the measured pace of endpoints to other hosts, so that the owner of the next batch can place its longest items
 * at fast endpoints from the start.
 */
import type { PacesSeen } from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { CallRegistry, Hosts } from './hostDirectory.js';

/** An update that takes longer is outdated when it arrives. */
const PEER_TIMEOUT_MS = 500;

export class PaceUpdates {
  private readonly _endpoints: EndpointDirectory;
  private readonly _hosts: Pick<Hosts, 'peers' | 'call'>;

  constructor(endpoints: EndpointDirectory, hosts: Pick<Hosts, 'peers' | 'call'>) {
    this._endpoints = endpoints;
    this._hosts = hosts;
  }

  serve(server: CallRegistry): void {
    server.handle(calls.pacesSeen, update => this._receive(update));
  }

  /** Sends the paces that this host has measured recently, not those received from peers. */
  send(): void {
    const paces = this._endpoints.all().flatMap(endpoint => {
      const paceMs = endpoint.recentOwnPaceMs();
      const { id: endpointId, startWallMs } = endpoint.info();
      return paceMs === undefined || paceMs <= 0 ? [] : [{ endpointId, startWallMs, paceMs }];
    });
    if (paces.length === 0) return;
    for (const { address } of this._hosts.peers())
      void this._hosts.call(address, calls.pacesSeen, { paces }, PEER_TIMEOUT_MS);
  }

  private _receive({ paces }: PacesSeen): Readonly<Record<string, never>> {
    for (const { endpointId, startWallMs, paceMs } of paces) {
      const endpoint = this._endpoints.get(endpointId);
      if (endpoint?.info().startWallMs === startWallMs) endpoint.recordReportedPace(paceMs);
    }
    return {};
  }
}
