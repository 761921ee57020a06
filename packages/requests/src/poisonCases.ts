/**
 * Poison requests: requests that crash every endpoint that runs them.
 *
 * A crash looks like a broken connection. Without these cases, the request would be retried at the next endpoint and
 * sent again by its caller, until every endpoint of the pool has crashed.
 *
 * Each termination of an endpoint is counted for all requests that ran there, including those that merely ran at the
 * same time. Terminations alone therefore do not condemn a request. After two terminations a request is held until the
 * endpoints have restarted, then tried once in the whole fleet. An answer clears the request; another termination
 * condemns it, so that it is refused instead of retried.
 */
import type { Clock } from '@fuchsiahitch/base';
import { targetOfFingerprint } from './requestFingerprint.js';

export type PoisonVerdict =
  | { readonly kind: 'free' }
  /** The request may be sent once, by the host that claims this trial for the whole fleet. */
  | { readonly kind: 'trial'; readonly number: number }
  /** Waits for the next trial or its result. */
  | { readonly kind: 'held'; readonly remainingMs: number }
  /** An endpoint terminated during a trial, or no trial is left. */
  | { readonly kind: 'condemned' };

export type PoisonMark =
  /** The endpoint terminated while running the request. `startId` identifies its process. */
  | { readonly kind: 'end'; readonly startId: string }
  /** A trial was started after `endsBefore` terminations. */
  | { readonly kind: 'trial'; readonly number: number; readonly endsBefore: number };

/** Returns a key that is unique among the marks of a request. A trial is identified by its number only. */
export function markKey(mark: PoisonMark): string {
  return mark.kind === 'end' ? `end-${mark.startId}` : `trial-${mark.number}`;
}

/** One termination may have any cause; two already affect two thirds of a pool of three endpoints. */
const MIN_TERMINATIONS = 2;
/**
 * The first delay lets endpoints restart, which takes about two seconds, so that the trial does not crash the last
 * endpoint of a small pool. The later trials only detect whether the endpoints were repaired. The number of trials is
 * limited because each may cost an endpoint and all requests that run there.
 */
const TRIAL_DELAYS_MS = [2000, 60_000, 600_000] as const;
/** Terminations further apart than this are not counted together. */
const CASE_RETENTION_MS = 600_000;
/** Beyond this number, the least recently marked case is evicted. */
const MAX_CASES = 2000;

interface PoisonCase {
  /** `startId` of the endpoints that terminated while running the request. */
  readonly terminatedStartIds: Set<string>;
  /** Started trials by number, each with the count of terminations before it. */
  readonly trials: Map<number, number>;
  lastMarkMs: number;
}

export class PoisonCases {
  private readonly _clock: Clock;
  private readonly _cases = new Map<string, PoisonCase>();
  private readonly _caseCountByTarget = new Map<string, number>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  count(): number {
    return this._cases.size;
  }

  /** Returns false if no case has this request line, so that the body need not be read. */
  mayMatch(target: string): boolean {
    return this._caseCountByTarget.has(target);
  }

  /** Records that an endpoint terminated while running the request. Returns the number of such endpoints. */
  ended(fingerprint: string, startId: string): number {
    this._removeExpired(fingerprint);
    const poisonCase = this._getOrCreateCase(fingerprint);
    if (!poisonCase.terminatedStartIds.has(startId)) poisonCase.lastMarkMs = this._clock.nowMs();
    poisonCase.terminatedStartIds.add(startId);
    return poisonCase.terminatedStartIds.size;
  }

  /** `endsBefore`: the terminations that were known to the host that started the trial. */
  trialStarted(fingerprint: string, number: number, endsBefore: number): void {
    const poisonCase = this._getOrCreateCase(fingerprint);
    if (poisonCase.trials.has(number)) return;
    poisonCase.trials.set(number, endsBefore);
    poisonCase.lastMarkMs = this._clock.nowMs();
  }

  /** Removes a trial whose request did not run. */
  removeTrial(fingerprint: string, number: number): void {
    this._cases.get(fingerprint)?.trials.delete(number);
  }

  /** Removes a termination whose record expired or whose request was answered elsewhere. */
  removeTermination(fingerprint: string, startId: string): void {
    const poisonCase = this._cases.get(fingerprint);
    poisonCase?.terminatedStartIds.delete(startId);
    if (poisonCase?.terminatedStartIds.size === 0) this.cleared(fingerprint);
  }

  /** Removes the case of a request that was answered, which proves it harmless. */
  cleared(fingerprint: string): void {
    if (!this._cases.delete(fingerprint)) return;
    const target = targetOfFingerprint(fingerprint);
    const remaining = (this._caseCountByTarget.get(target) ?? 1) - 1;
    if (remaining > 0) this._caseCountByTarget.set(target, remaining);
    else this._caseCountByTarget.delete(target);
  }

  marks(fingerprint: string): readonly PoisonMark[] {
    const poisonCase = this._cases.get(fingerprint);
    return [
      ...[...(poisonCase?.terminatedStartIds ?? [])].map((startId): PoisonMark => ({ kind: 'end', startId })),
      ...[...(poisonCase?.trials ?? [])].map(([number, endsBefore]): PoisonMark => ({
        kind: 'trial',
        number,
        endsBefore,
      })),
    ];
  }

  /** The number of endpoints that terminated while running the request. */
  terminationCount(fingerprint: string): number {
    return this._cases.get(fingerprint)?.terminatedStartIds.size ?? 0;
  }

  verdict(fingerprint: string): PoisonVerdict {
    const poisonCase = this._cases.get(fingerprint);
    if (!poisonCase || poisonCase.terminatedStartIds.size < MIN_TERMINATIONS) return { kind: 'free' };
    const sinceMarkMs = this._clock.nowMs() - poisonCase.lastMarkMs;
    const delayMs = TRIAL_DELAYS_MS[poisonCase.trials.size] ?? Infinity;
    if (sinceMarkMs >= delayMs) return { kind: 'trial', number: poisonCase.trials.size + 1 };
    // Only a termination during a trial is proof; a trial may also be interrupted.
    const isProven = [...poisonCase.trials.values()].some(
      endsBefore => poisonCase.terminatedStartIds.size > endsBefore,
    );
    const isWaiting = !isProven && delayMs < Infinity;
    return isWaiting ? { kind: 'held', remainingMs: delayMs - sinceMarkMs } : { kind: 'condemned' };
  }

  private _removeExpired(fingerprint: string): void {
    const poisonCase = this._cases.get(fingerprint);
    if (poisonCase && this._clock.nowMs() - poisonCase.lastMarkMs >= CASE_RETENTION_MS)
      this.cleared(fingerprint);
  }

  private _getOrCreateCase(fingerprint: string): PoisonCase {
    const existing = this._cases.get(fingerprint);
    if (existing) {
      // Reinserted as the last entry, since eviction removes the first one.
      this._cases.delete(fingerprint);
      this._cases.set(fingerprint, existing);
      return existing;
    }
    const [oldest] = this._cases.keys();
    if (this._cases.size >= MAX_CASES && oldest !== undefined) this.cleared(oldest);
    const created: PoisonCase = {
      terminatedStartIds: new Set(),
      trials: new Map(),
      lastMarkMs: this._clock.nowMs(),
    };
    this._cases.set(fingerprint, created);
    const target = targetOfFingerprint(fingerprint);
    this._caseCountByTarget.set(target, (this._caseCountByTarget.get(target) ?? 0) + 1);
    return created;
  }
}
