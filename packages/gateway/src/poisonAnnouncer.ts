/**
 * Tells the other hosts of poison requests directly, when the store does not take what is known of them at once.
 *
 * Without it an outage of the store leaves each host to learn for itself, at the cost of two endpoints at each; one notices
 * it as endpoints that end under the same request at one host after the other.
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

/** What is known of one request; no marks: it was answered. */
const poisonAnnouncementSchema = z
  .strictObject({ fingerprint: z.string(), marks: z.array(markSchema).max(1000).readonly() })
  .readonly();
export type PoisonAnnouncement = z.infer<typeof poisonAnnouncementSchema>;

export const poisonCall = defineCall('poisonNews', poisonAnnouncementSchema, z.strictObject({}).readonly());

/** A host that does not take the news in this time is cut off, and learns from the store later. */
const ANNOUNCE_TIMEOUT_MS = 1000;

export class PoisonAnnouncer {
  private readonly _hosts: Pick<Hosts, 'peers' | 'call'>;

  constructor(hosts: Pick<Hosts, 'peers' | 'call'>) {
    this._hosts = hosts;
  }

  /** Tells every host that lives. Nobody waits for the answers: whoever is missed hears of it by the store. */
  announce(fingerprint: string, marks: readonly PoisonMark[]): void {
    const news: PoisonAnnouncement = { fingerprint, marks };
    for (const { address } of this._hosts.peers())
      void this._hosts.call(address, poisonCall, news, ANNOUNCE_TIMEOUT_MS);
  }

  /** `heard`: told of what others tell. */
  serve(server: CallRegistry, onAnnouncement: (news: PoisonAnnouncement) => void): void {
    server.handle(poisonCall, news => {
      onAnnouncement(news);
      return {};
    });
  }
}
