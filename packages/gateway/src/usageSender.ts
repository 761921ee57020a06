/**
 * Tells the host that reports usage what this host saw endpoints begin.
 *
 * A host that is never asked anything tells nothing. One that counted something tells it within a second, so that little is lost
 * with it, and says of each window when nothing can be added any more, so that nobody waits for it. All counts of a window go
 * with each message, which may therefore be lost, repeated, or taken by a reporter that knows nothing yet.
 */
import { err, ok, type CancelTimer, type Result } from '@fuchsiahitch/base';
import { isSameOwner, type Owner } from '@fuchsiahitch/batches';
import { PauseDetector } from '@fuchsiahitch/duties';
import {
  totalOf,
  type MeteredRequest,
  type UsageMeter,
  type UsageUpdate,
  type UsageUpdateReply,
  usageUpdateReplySchema,
  usageUpdateSchema,
} from '@fuchsiahitch/metering';
import { defineCall, type CallError } from '@fuchsiahitch/protocol';
import type { GatewayContext } from './gatewayContext.js';
import type { Hosts } from './hostDirectory.js';

export const usageUpdateCall = defineCall('usageTold', usageUpdateSchema, usageUpdateReplySchema);

/** Counts are told so long after the first of them, together with those that came meanwhile. */
const SEND_DELAY_MS = 1000;
/** In a large fleet the reporter hears no more than so many messages a second. */
const MAX_MESSAGES_PER_SECOND = 100;
const SEND_TIMEOUT_MS = 1000;
/** A reporter that did not answer, or does not exist yet, is looked for again after this. */
const RETRY_MS = 500;
const MS_PER_SECOND = 1000;

/** A host tells what it counted so long after it, at the latest. */
export function sendIntervalMs(hosts: number): number {
  return Math.max(SEND_DELAY_MS, (hosts / MAX_MESSAGES_PER_SECOND) * MS_PER_SECOND);
}

export type UsageHosts = Pick<Hosts, 'self' | 'peers' | 'call' | 'onKeyChange'> & {
  /** What the holder of a key wrote into it; undefined while nobody holds it. */
  valueOfKey(key: string): string | undefined;
};

/** Takes what hosts tell, where this host itself is the reporter. */
export type ReceiveUsage = (told: UsageUpdate) => UsageUpdateReply;

export class UsageSender {
  private readonly _context: GatewayContext;
  private readonly _meter: UsageMeter;
  private readonly _hosts: UsageHosts;
  private readonly _reporterKey: string;
  private readonly _receiveLocally: ReceiveUsage;
  private readonly _pauses: PauseDetector;
  /** When it is told next; Infinity while nothing is to tell. */
  private _dueMs = Infinity;
  private _cancel: CancelTimer = () => undefined;
  private _reporter: Owner | undefined;
  /** How the last try failed: each of a row of failures would fill the log. */
  private _lastFailure: string | undefined;
  private _isSending = false;

  /** `reporterKey`: its value names the host that reports. */
  constructor(
    context: GatewayContext,
    meter: UsageMeter,
    hosts: UsageHosts,
    reporterKey: string,
    receiveLocally: ReceiveUsage,
  ) {
    this._context = context;
    this._meter = meter;
    this._hosts = hosts;
    this._reporterKey = reporterKey;
    this._receiveLocally = receiveLocally;
    this._pauses = new PauseDetector(context.clock);
  }

  start(): void {
    this._hosts.onKeyChange(this._reporterKey, () => this._onReporterKeyChange());
  }

  /** A request of an account is sent to an endpoint. */
  sent(accountName: string): MeteredRequest {
    this._checkPause();
    const send = this._meter.sent(accountName, this._context.clock.nowMs());
    return {
      ended: didBegin => {
        send.ended(didBegin);
        if (didBegin) this._scheduleSend(this._sendIntervalMs());
      },
    };
  }

  private _sendIntervalMs(): number {
    return sendIntervalMs(this._hosts.peers().length);
  }

  private _onReporterKeyChange(): void {
    this._updateReporter();
    if (this._meter.hasUnreported()) this._scheduleSend(this._context.random.below(SEND_DELAY_MS));
  }

  /** A process that did not report before knows nothing of what was told to others. */
  private _updateReporter(): void {
    const reporter = this._currentReporter();
    if (!reporter || (this._reporter && isSameOwner(reporter, this._reporter))) return;
    this._reporter = reporter;
    this._meter.reporterChanged();
  }

  private _currentReporter(): Owner | undefined {
    const hostId = this._hosts.valueOfKey(this._reporterKey);
    if (hostId === this._context.hostId) return this._hosts.self();
    return this._hosts.peers().find(peer => peer.hostId === hostId);
  }

  /** A time that was learnt before a pause, or before the clock was set, says nothing of what comes after. */
  private _checkPause(): void {
    if (this._pauses.wasPaused()) this._meter.undated();
  }

  private _scheduleSend(delayMs: number): void {
    const { clock, stopped } = this._context;
    const dueMs = clock.nowMs() + Math.max(0, delayMs);
    if (dueMs >= this._dueMs || this._isSending || stopped.aborted) return;
    this._cancel();
    this._dueMs = dueMs;
    this._cancel = clock.after(Math.max(0, delayMs), () => {
      this._dueMs = Infinity;
      void this._runSend();
    });
  }

  private async _runSend(): Promise<void> {
    this._isSending = true;
    this._checkPause();
    const isSent = await this._sendUsage();
    this._isSending = false;
    this._dropExpired();
    const nowMs = this._context.clock.nowMs();
    if (!isSent) {
      this._scheduleSend(RETRY_MS);
      return;
    }
    const finalMs = this._meter.nextFinalMs(nowMs);
    if (this._meter.hasUnreported()) this._scheduleSend(this._sendIntervalMs());
    else if (finalMs !== undefined) this._scheduleSend(Math.max(finalMs - nowMs, RETRY_MS / 2));
  }

  /** Learns what time it is first, where that is not known, and tells then: counts belong to windows of true time. */
  private async _sendUsage(): Promise<boolean> {
    if (!this._meter.hasClockOffset() && !(await this._exchange([], () => undefined))) return false;
    this._updateReporter();
    const { windows, told } = this._meter.nextUpdate(this._context.clock.nowMs());
    return windows.length === 0 || this._exchange(windows, told);
  }

  private async _exchange(windows: UsageUpdate['windows'], told: () => void): Promise<boolean> {
    const { clock, hostId, incarnation, log } = this._context;
    const sentMs = clock.nowMs();
    const reply = await this._send({ hostId, incarnation, wallMs: clock.wallMs(), windows });
    if (!reply.ok || reply.value.kind !== 'taken') {
      const outcome = reply.ok ? reply.value.kind : reply.error.kind;
      if (outcome !== this._lastFailure)
        log.info('usage not told', { outcome, reporter: this._reporter?.hostId, windows: windows.length });
      this._lastFailure = outcome;
      return false;
    }
    this._lastFailure = undefined;
    told();
    this._meter.setClockOffset(reply.value.trueMs - (sentMs + clock.nowMs()) / 2);
    this._meter.markDecided(reply.value.decidedUpTo);
    return true;
  }

  private async _send(request: UsageUpdate): Promise<Result<UsageUpdateReply, CallError>> {
    const reporter = this._currentReporter();
    if (!reporter) return err({ kind: 'not-sent', text: 'nobody reports' });
    if (isSameOwner(reporter, this._hosts.self())) return ok(this._receiveLocally(request));
    return this._hosts.call(reporter.address, usageUpdateCall, request, SEND_TIMEOUT_MS);
  }

  private _dropExpired(): void {
    for (const { window, counts } of this._meter.takeExpired(this._context.clock.nowMs()))
      this._context.log.warn('usage lost', {
        window,
        requests: totalOf(counts),
        of: this._context.hostId,
        reason: 'no reporter took it in time',
      });
  }
}
