/**
 * Customer load of the demo: lookups, completions and seat holds, sent to the entry hosts in round-robin order.
 * Requests are retried at the next host; a retried hold keeps its idempotency key.
 */
import hdr, { type Histogram } from 'hdr-histogram-js';
import { request } from 'undici';
import type { RunningDeployment } from './runningDeployment.js';
import { delay } from './supervisor.js';

const TIMEOUT_MS = 15_000;
const MAX_LATENCY_MS = 60_000;
const PAUSE_MS = 20;
const RESEND_INTERVAL = 5;
const MAX_ATTEMPTS = 20;

export interface CustomerCounts {
  completions: number;
  lookups: number;
  holds: number;
  /** Calls that failed with a connection error. */
  broken: number;
  /** Lookups and completions that did not complete after all retries. */
  lost: number;
  /** Holds whose last reported outcome was `unknown`. */
  unknownHolds: number;
  /** Idempotency keys of holds that were reported as not executed. */
  readonly notRunKeys: Set<string>;
}

export class Customers {
  readonly counts: CustomerCounts = {
    completions: 0,
    lookups: 0,
    holds: 0,
    broken: 0,
    lost: 0,
    unknownHolds: 0,
    notRunKeys: new Set(),
  };
  readonly latencyMs: Histogram = hdr.build({ highestTrackableValue: MAX_LATENCY_MS });
  private readonly _deployment: RunningDeployment;
  private _isStopped = false;
  private _nextUrl = 0;
  private readonly _loops: Promise<void>[] = [];

  constructor(deployment: RunningDeployment) {
    this._deployment = deployment;
  }

  start(clients: number): void {
    for (let client = 0; client < clients; client++) this._loops.push(this._loop(client));
  }

  async stop(): Promise<void> {
    this._isStopped = true;
    await Promise.all(this._loops);
  }

  private async _loop(client: number): Promise<void> {
    const sendByKind = [
      async (): Promise<void> => this._lookUp(),
      async (name: string): Promise<void> => this._complete(name),
      async (name: string): Promise<void> => this._hold(name),
    ];
    for (let round = 0; !this._isStopped; round++) {
      const startMs = performance.now();
      await sendByKind[(client + round) % sendByKind.length]?.(`${client}-${round}`);
      this.latencyMs.recordValue(Math.min(MAX_LATENCY_MS, Math.round(performance.now() - startMs)));
      await delay(PAUSE_MS);
    }
  }

  private async _lookUp(): Promise<void> {
    const { plan } = this._deployment;
    const isDone = await this._retryUntil(async () => {
      const answer = await this._send('GET', `/svc/${plan.services.name}${plan.lookupPath}`, undefined, {});
      return answer?.outcome === 'completed';
    });
    if (isDone) this.counts.lookups += 1;
    else this.counts.lost += 1;
  }

  private async _complete(name: string): Promise<void> {
    const body = { model: this._deployment.plan.engines.name, prompt: `ask ${name}`, max_tokens: 16 };
    const isDone = await this._retryUntil(async () => {
      const answer = await this._send('POST', '/v1/completions', body, {});
      return answer?.outcome === 'completed';
    });
    if (isDone) this.counts.completions += 1;
    else this.counts.lost += 1;
  }

  /** Retries a hold with its key until it is known to have been executed. Resends about every fifth hold. */
  private async _hold(name: string): Promise<void> {
    const { plan } = this._deployment;
    const path = `/svc/${plan.services.name}/holds`;
    const key = `${plan.name}-${name}`;
    const headers = { 'idempotency-key': key };
    let outcome = '';
    const isDone = await this._retryUntil(async () => {
      const answer = await this._send('POST', path, { seat: name }, headers);
      outcome = answer?.outcome ?? outcome;
      return answer?.outcome === 'completed' || answer?.reason === 'answer-not-kept';
    });
    if (isDone) this.counts.holds += 1;
    else if (outcome === 'unknown') this.counts.unknownHolds += 1;
    else this.counts.notRunKeys.add(key);
    if (this.counts.holds % RESEND_INTERVAL === 0) await this._send('POST', path, { seat: name }, headers);
  }

  private async _retryUntil(attempt: () => Promise<boolean>): Promise<boolean> {
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      if (await attempt()) return true;
      await delay(PAUSE_MS * (i + 1));
    }
    return false;
  }

  private async _send(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    headers: Readonly<Record<string, string>>,
  ): Promise<{ readonly outcome: string; readonly reason: string } | undefined> {
    const urls = this._deployment.urls('callers');
    const url = urls[this._nextUrl++ % urls.length] ?? '';
    try {
      const response = await request(`${url}${path}`, {
        method,
        headers: { 'content-type': 'application/json', 'fuchsiahitch-timeout-ms': '5000', ...headers },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      await response.body.dump();
      const outcome = String(response.headers['fuchsiahitch-outcome'] ?? '');
      return { outcome, reason: String(response.headers['fuchsiahitch-reason'] ?? '') };
    } catch {
      this.counts.broken += 1;
      return undefined;
    }
  }
}
