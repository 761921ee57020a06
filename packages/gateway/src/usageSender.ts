/**
 * Sends the usage counted by this host to the host that reports it to the platform.
 *
 * Idle hosts send nothing. New counts are sent within about a second, to limit the loss when a host fails, and each
 * window is marked final once it cannot grow, so that the reporter need not wait for this host. A message carries the
 * complete counts of its windows and may therefore be lost or repeated.
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

/** Delay after the first new count, so that one message carries several. */
const SEND_DELAY_MS = 1000;
/** Bounds the message rate at the reporter in large fleets. */
const MAX_MESSAGES_PER_SECOND = 100;
const SEND_TIMEOUT_MS = 1000;
const RETRY_MS = 500;
const MS_PER_SECOND = 1000;

/** Maximum delay between a count and the message that carries it. */
export function sendIntervalMs(hosts: number): number {
  return Math.max(SEND_DELAY_MS, (hosts / MAX_MESSAGES_PER_SECOND) * MS_PER_SECOND);
}

export type UsageHosts = Pick<Hosts, 'self' | 'peers' | 'call' | 'onKeyChange'> & {
  /** Value written by the holder of a key; undefined if the key has no holder. */
  valueOfKey(key: string): string | undefined;
};

/** Delivers updates locally if this host is the reporter. */
export type ReceiveUsage = (update: UsageUpdate) => UsageUpdateReply;

export class UsageSender {
  private readonly _context: GatewayContext;
  private readonly _meter: UsageMeter;
  private readonly _hosts: UsageHosts;
  private readonly _reporterKey: string;
  private readonly _receiveLocally: ReceiveUsage;
  private readonly _pauses: PauseDetector;
  /** Time of the next message; Infinity if none is scheduled. */
  private _nextSendMs = Infinity;
  private _cancelNextSend: CancelTimer = () => undefined;
  private _reporter: Owner | undefined;
  /** Outcome of the last failed attempt, so that repeated failures are logged once. */
  private _lastFailure: string | undefined;
  private _isSending = false;

  /** `reporterKey`: store key whose value is the identifier of the reporting host. */
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

  /** Meters a request that is sent to an endpoint. */
  sent(accountName: string): MeteredRequest {
    this._checkPause();
    const request = this._meter.sent(accountName, this._context.clock.nowMs());
    return {
      ended: didBegin => {
        request.ended(didBegin);
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

  /** A new reporter process has none of the earlier updates. */
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

  /** Discards the clock offset after a pause or a change of the wall clock. */
  private _checkPause(): void {
    if (this._pauses.wasPaused()) this._meter.clearClockOffset();
  }

  private _scheduleSend(delayMs: number): void {
    const { clock, stopped } = this._context;
    const dueMs = clock.nowMs() + Math.max(0, delayMs);
    if (dueMs >= this._nextSendMs || this._isSending || stopped.aborted) return;
    this._cancelNextSend();
    this._nextSendMs = dueMs;
    this._cancelNextSend = clock.after(Math.max(0, delayMs), () => {
      this._nextSendMs = Infinity;
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

  /** Obtains the clock offset first if it is not known: counts belong to windows of true time. */
  private async _sendUsage(): Promise<boolean> {
    if (!this._meter.hasClockOffset() && !(await this._exchange([], () => undefined))) return false;
    this._updateReporter();
    const { windows, told } = this._meter.nextUpdate(this._context.clock.nowMs());
    return windows.length === 0 || this._exchange(windows, told);
  }

  private async _exchange(windows: UsageUpdate['windows'], acknowledge: () => void): Promise<boolean> {
    const { clock, hostId, incarnation, log } = this._context;
    const sentMs = clock.nowMs();
    const reply = await this._send({ hostId, incarnation, wallMs: clock.wallMs(), windows });
    if (!reply.ok || reply.value.kind !== 'taken') {
      const outcome = reply.ok ? reply.value.kind : reply.error.kind;
      if (outcome !== this._lastFailure)
        log.info('usage update not delivered', {
          outcome,
          reporter: this._reporter?.hostId,
          windows: windows.length,
        });
      this._lastFailure = outcome;
      return false;
    }
    this._lastFailure = undefined;
    acknowledge();
    this._meter.setClockOffset(reply.value.trueMs - (sentMs + clock.nowMs()) / 2);
    this._meter.markDecided(reply.value.decidedUpTo);
    return true;
  }

  private async _send(request: UsageUpdate): Promise<Result<UsageUpdateReply, CallError>> {
    const reporter = this._currentReporter();
    if (!reporter) return err({ kind: 'not-sent', text: 'no host reports usage' });
    if (isSameOwner(reporter, this._hosts.self())) return ok(this._receiveLocally(request));
    return this._hosts.call(reporter.address, usageUpdateCall, request, SEND_TIMEOUT_MS);
  }

  private _dropExpired(): void {
    for (const { window, counts } of this._meter.takeExpired(this._context.clock.nowMs()))
      this._context.log.warn('usage lost', {
        window,
        requests: totalOf(counts),
        of: this._context.hostId,
        reason: 'not delivered to a reporter in time',
      });
  }
}
