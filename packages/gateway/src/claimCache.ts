/**
 * Claims of batches as last read or announced, which saves reading them from the store.
 *
 * A stale entry is harmless: a previous owner answers `not-owner`.
 */
import type { ClaimUpdate } from '@fuchsiahitch/batches';
import { calls } from '@fuchsiahitch/protocol';
import type { HeldClaim } from './batchStore.js';
import type { CallRegistry, Hosts } from './hostDirectory.js';

const MAX_CACHED_CLAIMS = 2000;
const PEER_TIMEOUT_MS = 700;

export class ClaimCache {
  private readonly _hosts: Pick<Hosts, 'peers' | 'call'>;
  private readonly _claims = new Map<string, HeldClaim>();

  constructor(hosts: Pick<Hosts, 'peers' | 'call'>) {
    this._hosts = hosts;
  }

  serve(server: CallRegistry): void {
    server.handle(calls.batchClaimed, update => this._receive(update));
  }

  get(batchId: string): HeldClaim | undefined {
    return this._claims.get(batchId);
  }

  /** True if the batch has ended according to its claim as last read. */
  isEnded(batchId: string): boolean {
    return this._claims.get(batchId)?.claim.isEnded ?? false;
  }

  set(batchId: string, held: HeldClaim): void {
    this._claims.delete(batchId);
    this._claims.set(batchId, held);
    const [oldest] = this._claims.keys();
    if (this._claims.size > MAX_CACHED_CLAIMS && oldest !== undefined) this._claims.delete(oldest);
  }

  delete(batchId: string): void {
    this._claims.delete(batchId);
  }

  /**
   * Announces the owner of a batch to all hosts, which saves them reading the claim from the store. Hosts that miss the
   * announcement read the claim.
   */
  announce(batchId: string, { claim, revision }: HeldClaim): void {
    for (const { address } of this._hosts.peers())
      void this._hosts.call(address, calls.batchClaimed, { batchId, claim, revision }, PEER_TIMEOUT_MS);
  }

  private _receive({ batchId, claim, revision }: ClaimUpdate): Readonly<Record<string, never>> {
    const cached = this._claims.get(batchId);
    // The time of the sender's request to the store is unknown here.
    if (!cached || cached.revision < revision)
      this.set(batchId, { claim, revision, requestedAtMs: -Infinity });
    return {};
  }
}
