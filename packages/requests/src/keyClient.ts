/** The entry host's side of idempotency keys: sends claims and results to the owner of a key. */
import type { Deadline } from '@fuchsiahitch/base';
import type { Claim, ClaimReply, Finish } from './keyMessages.js';
import { homeDomain } from './slotMap.js';

/** `unreachable`: no reply arrived. */
export type ClaimResult = ClaimReply | { readonly kind: 'unreachable' };

/** Sends messages to the owner of a key in a failure domain. */
export interface KeyRoutes {
  /** Resolves with undefined if no reply arrived. */
  claim(domain: string, claim: Claim, deadline: Deadline): Promise<ClaimReply | undefined>;
  /** Resolves with true if the owner accepted the message. */
  finish(domain: string, finish: Finish): Promise<boolean>;
  /** Waits until this host may have received a newer slot map. */
  refresh(deadline: Deadline): Promise<void>;
}

const MAX_CLAIM_TRIES = 3;
const MAX_FINISH_TRIES = 4;
/** The maximum time that a resend waits for the first answer. */
const MAX_WAIT_MS = 30_000;
/** The part of the deadline that is reserved for returning the reply. */
const RETURN_MARGIN_MS = 50;

export class KeyClient {
  private readonly _domains: readonly string[];
  private readonly _domainsDigest: string;
  private readonly _routes: KeyRoutes;

  constructor(domains: readonly string[], domainsDigest: string, routes: KeyRoutes) {
    this._domains = domains;
    this._domainsDigest = domainsDigest;
    this._routes = routes;
  }

  /** A claim without a reply is not repeated, since the owner may have granted it; the caller receives `unknown`. */
  async claim(key: string, fingerprint: string, attemptId: string, deadline: Deadline): Promise<ClaimResult> {
    const home = homeDomain(key, this._domains);
    for (let i = 0; i < MAX_CLAIM_TRIES; i++) {
      const waitMs = Math.max(0, Math.min(MAX_WAIT_MS, deadline.remainingMs() - RETURN_MARGIN_MS));
      const claim = { key, fingerprint, attemptId, domains: this._domainsDigest, waitMs, relayed: false };
      const reply = await this._routes.claim(home, claim, deadline);
      if (!reply) return { kind: 'unreachable' };
      if (reply.kind !== 'wrong-owner') return reply;
      await this._routes.refresh(deadline);
    }
    return { kind: 'unreachable' };
  }

  /** Reports the end of the attempt to the owner. If that fails, resends receive `unknown`. */
  async finish(finish: Omit<Finish, 'relayed'>, deadline: Deadline): Promise<void> {
    const home = homeDomain(finish.key, this._domains);
    for (let i = 0; i < MAX_FINISH_TRIES && !deadline.isOver(); i++) {
      if (await this._routes.finish(home, { ...finish, relayed: false })) return;
      await this._routes.refresh(deadline);
    }
  }
}
