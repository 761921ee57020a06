/**
 * Tells other hosts how quick endpoints are.
 *
 * Each step may have another owner. Without this news it begins the longest items anywhere, and finds out after a second and a
 * half which of them have to move; one sees them as `item attempt` lines that were cancelled after 1.7 s.
 */
import type { PacesSeen } from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { CallRegistry, Hosts } from './hostDirectory.js';

/** News for a peer that takes longer is old by then. */
const PEER_TIMEOUT_MS = 500;

export class PaceNews {
  private readonly _endpoints: EndpointDirectory;
  private readonly _hosts: Pick<Hosts, 'peers' | 'call'>;

  constructor(endpoints: EndpointDirectory, hosts: Pick<Hosts, 'peers' | 'call'>) {
    this._endpoints = endpoints;
    this._hosts = hosts;
  }

  serve(server: CallRegistry): void {
    server.handle(calls.pacesSeen, news => this._heard(news));
  }

  /** Tells what this host has found a moment ago, and not what it has heard. */
  tell(): void {
    const paces = this._endpoints.all().flatMap(endpoint => {
      const paceMs = endpoint.recentOwnPaceMs();
      const { id: endpointId, startWallMs } = endpoint.info();
      return paceMs === undefined || paceMs <= 0 ? [] : [{ endpointId, startWallMs, paceMs }];
    });
    if (paces.length === 0) return;
    for (const { address } of this._hosts.peers())
      void this._hosts.call(address, calls.pacesSeen, { paces }, PEER_TIMEOUT_MS);
  }

  private _heard({ paces }: PacesSeen): Readonly<Record<string, never>> {
    for (const { endpointId, startWallMs, paceMs } of paces) {
      const endpoint = this._endpoints.get(endpointId);
      if (endpoint?.info().startWallMs === startWallMs) endpoint.recordReportedPace(paceMs);
    }
    return {};
  }
}
