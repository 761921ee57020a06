/**
 * Poison requests: those under which endpoints end, one after the other, whichever runs them.
 *
 * What goes wrong without a memory of them: a crash looks like a broken connection, so the request is sent to the next
 * endpoint, and its caller brings it again. One notices it as a pool whose endpoints all restart every few seconds while
 * everybody's requests are refused. So each end is counted for the requests that ran there.
 *
 * An end speaks as well against the requests that merely ran at the same endpoint. Therefore nothing is condemned by such
 * ends alone: after two, the request is held until the endpoints are back, and one copy of it in the whole fleet is
 * then tried. An answer clears it; a further end condemns it.
 */
import type { Clock } from '@fuchsiahitch/base';
import { targetOfFingerprint } from './requestFingerprint.js';

/** What may be done with a request. */
export type PoisonVerdict =
  /** It may be sent like any other. */
  | { readonly kind: 'free' }
  /** One copy may be sent once, by the host that claims this trial for the whole fleet. */
  | { readonly kind: 'trial'; readonly number: number }
  /** It may be sound: it waits for its next trial, or for the result of one. */
  | { readonly kind: 'held'; readonly leftMs: number }
  /** An endpoint ended under its trial too, or no trial is left. */
  | { readonly kind: 'condemned' };

/** One thing known of a request. */
export type PoisonMark =
  /** An endpoint has ended under it; the identifier of its start. */
  | { readonly kind: 'end'; readonly startId: string }
  /** A trial of it was begun, after so many ends. */
  | { readonly kind: 'trial'; readonly number: number; readonly endsBefore: number };

/** Tells the marks of one request apart; a trial by its number only. */
export function markKey(mark: PoisonMark): string {
  return mark.kind === 'end' ? `end-${mark.startId}` : `trial-${mark.number}`;
}

/** One end may be anything; two, of two endpoints, take two thirds of a pool of three. */
const MIN_ENDS = 2;
/**
 * The pause before each trial. A process is back about two seconds after its end, so that the first trial does not take
 * the last endpoint of a small pool; later ones only find out whether the endpoints have been repaired. After these no
 * more: each costs an endpoint and all that runs there.
 */
const TRIAL_DELAYS_MS = [2000, 60_000, 600_000] as const;
/** Two ends that lie further apart than this are none of the request's doing. */
const CASE_RETENTION_MS = 600_000;
/** Some hundred bytes each. Beyond it the one that was marked longest ago is forgotten. */
const MAX_CASES = 2000;

interface PoisonCase {
  /** The starts of endpoints that have ended under the request. */
  readonly ends: Set<string>;
  /** The trials that were begun, and the ends that were known before each. */
  readonly trials: Map<number, number>;
  lastMarkMs: number;
}

export class PoisonCases {
  private readonly _clock: Clock;
  private readonly _cases = new Map<string, PoisonCase>();
  /** Cases by the digest of their request line. */
  private readonly _caseCountByTarget = new Map<string, number>();

  constructor(clock: Clock) {
    this._clock = clock;
  }

  count(): number {
    return this._cases.size;
  }

  /** False if no request with this request line is known: its body need not be read. */
  mayMatch(target: string): boolean {
    return this._caseCountByTarget.has(target);
  }

  /** An endpoint has ended while it ran the request. Returns how many have by now. */
  ended(fingerprint: string, startId: string): number {
    this._removeExpired(fingerprint);
    const known = this._getOrCreateCase(fingerprint);
    if (!known.ends.has(startId)) known.lastMarkMs = this._clock.nowMs();
    known.ends.add(startId);
    return known.ends.size;
  }

  /** `endsBefore`: what its host knew when it began; this one may have heard of the end of the trial first. */
  trialStarted(fingerprint: string, number: number, endsBefore: number): void {
    const known = this._getOrCreateCase(fingerprint);
    if (known.trials.has(number)) return;
    known.trials.set(number, endsBefore);
    known.lastMarkMs = this._clock.nowMs();
  }

  /** The request did not run after all. */
  trialDropped(fingerprint: string, number: number): void {
    this._cases.get(fingerprint)?.trials.delete(number);
  }

  /** An end counts no more: the record of it has lapsed, or its request was answered elsewhere. */
  removeEnd(fingerprint: string, startId: string): void {
    const known = this._cases.get(fingerprint);
    known?.ends.delete(startId);
    if (known?.ends.size === 0) this.cleared(fingerprint);
  }

  /** The request was answered: whatever ended, it was not the cause. */
  cleared(fingerprint: string): void {
    if (!this._cases.delete(fingerprint)) return;
    const target = targetOfFingerprint(fingerprint);
    const left = (this._caseCountByTarget.get(target) ?? 1) - 1;
    if (left > 0) this._caseCountByTarget.set(target, left);
    else this._caseCountByTarget.delete(target);
  }

  /** The starts of endpoints that have ended under the request, and its trials. */
  marks(fingerprint: string): readonly PoisonMark[] {
    const known = this._cases.get(fingerprint);
    return [
      ...[...(known?.ends ?? [])].map((startId): PoisonMark => ({ kind: 'end', startId })),
      ...[...(known?.trials ?? [])].map(([number, endsBefore]): PoisonMark => ({
        kind: 'trial',
        number,
        endsBefore,
      })),
    ];
  }

  /** How many endpoints have ended under the request. */
  ends(fingerprint: string): number {
    return this._cases.get(fingerprint)?.ends.size ?? 0;
  }

  verdict(fingerprint: string): PoisonVerdict {
    const known = this._cases.get(fingerprint);
    if (!known || known.ends.size < MIN_ENDS) return { kind: 'free' };
    const sinceMarkMs = this._clock.nowMs() - known.lastMarkMs;
    const pauseMs = TRIAL_DELAYS_MS[known.trials.size] ?? Infinity;
    if (sinceMarkMs >= pauseMs) return { kind: 'trial', number: known.trials.size + 1 };
    // Only an end under a trial proves anything: a trial may also be cut off, or its caller leave.
    const isProven = [...known.trials.values()].some(endsBefore => known.ends.size > endsBefore);
    const isWaiting = !isProven && pauseMs < Infinity;
    return isWaiting ? { kind: 'held', leftMs: pauseMs - sinceMarkMs } : { kind: 'condemned' };
  }

  private _removeExpired(fingerprint: string): void {
    const known = this._cases.get(fingerprint);
    if (known && this._clock.nowMs() - known.lastMarkMs >= CASE_RETENTION_MS) this.cleared(fingerprint);
  }

  private _getOrCreateCase(fingerprint: string): PoisonCase {
    const known = this._cases.get(fingerprint);
    if (known) {
      // Last in order, as the one that was marked last.
      this._cases.delete(fingerprint);
      this._cases.set(fingerprint, known);
      return known;
    }
    const [oldest] = this._cases.keys();
    if (this._cases.size >= MAX_CASES && oldest !== undefined) this.cleared(oldest);
    const created: PoisonCase = {
      ends: new Set(),
      trials: new Map(),
      lastMarkMs: this._clock.nowMs(),
    };
    this._cases.set(fingerprint, created);
    const target = targetOfFingerprint(fingerprint);
    this._caseCountByTarget.set(target, (this._caseCountByTarget.get(target) ?? 0) + 1);
    return created;
  }
}
