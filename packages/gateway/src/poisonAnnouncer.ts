/**
 * Announces poison requests to the other hosts directly while the store is unavailable. Otherwise every host would
 * lose endpoints of its own to the same request during a store outage.
 */
import { defineCall } from '@fuchsiahitch/protocol';
import type { PoisonMark } from '@fuchsiahitch/requests';
import * as z from 'zod';
import type { CallRegistry, Hosts } from './hostDirectory.js';

const nonNegativeInteger = z.number().int().min(0);

const markSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('end'), startId: z.string() }).readonly(),
  z
    .strictObject({ kind: z.literal('trial'), number: nonNegativeInteger, endsBefore: nonNegativeInteger })
    .readonly(),
]);

/** The marks of one request. An empty list clears the case: the request was answered. */
const poisonAnnouncementSchema = z
  .strictObject({ fingerprint: z.string(), marks: z.array(markSchema).max(1000).readonly() })
  .readonly();
export type PoisonAnnouncement = z.infer<typeof poisonAnnouncementSchema>;

export const poisonCall = defineCall('poisonNews', poisonAnnouncementSchema, z.strictObject({}).readonly());

/** A host that does not answer within this time receives the marks from the store later. */
const ANNOUNCE_TIMEOUT_MS = 1000;

export class PoisonAnnouncer {
  private readonly _hosts: Pick<Hosts, 'peers' | 'call'>;

  constructor(hosts: Pick<Hosts, 'peers' | 'call'>) {
    this._hosts = hosts;
  }

  /** Sends to every live host without awaiting the answers. Hosts that are missed receive the marks from the store. */
  announce(fingerprint: string, marks: readonly PoisonMark[]): void {
    const announcement: PoisonAnnouncement = { fingerprint, marks };
    for (const { address } of this._hosts.peers())
      void this._hosts.call(address, poisonCall, announcement, ANNOUNCE_TIMEOUT_MS);
  }

  serve(server: CallRegistry, onAnnouncement: (announcement: PoisonAnnouncement) => void): void {
    server.handle(poisonCall, announcement => {
      onAnnouncement(announcement);
      return {};
    });
  }
}
