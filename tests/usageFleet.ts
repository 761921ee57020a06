/**
 * Test fleet that reports usage, and the expected content of its reports.
 */
import type { SeededRandom } from '@fuchsiahitch/base';
import { GatewayFleet, type FleetHost, type FleetSize } from './gatewayFleet.js';
import { answer, endpointRecord, keys } from './gatewayFixtures.js';
import { lookupRequest, LOOKUP_ROUTE, NEVER_ABORTED } from './lookupRequests.js';

export const WINDOW_MS = 5000;
const DUE_MS = 10_000;
const USAGE = { windowMs: WINDOW_MS, dueMs: DUE_MS };
export const SMALL_FLEET: FleetSize = {
  hosts: 9,
  domains: 3,
  endpoints: 3,
  isHeartbeatDisabled: true,
  usage: USAGE,
};
/** Allowed relative error of a report. */
const TOLERANCE = 0.05;

/** Requests that the endpoints began, by window, for comparison with the reports. */
export class ExpectedUsage {
  readonly began = new Map<number, number>();
  private readonly _fleet: GatewayFleet;

  constructor(fleet: GatewayFleet) {
    this._fleet = fleet;
    for (let i = 0; i < 3; i++)
      fleet.store.put(
        `${keys.endpointPrefix}s${i}`,
        endpointRecord({ address: `10.1.0.1:${i}`, pool: 'storefront' }),
      );
    fleet.client.reply = () => {
      const window = Math.floor(fleet.clock.nowMs() / WINDOW_MS);
      this.began.set(window, (this.began.get(window) ?? 0) + 1);
      return Promise.resolve({ kind: 'answered', answer: answer(200, 'whole') });
    };
  }

  /** Sends requests at a constant rate to random hosts. */
  async load(random: SeededRandom, perSecond: number, durationMs: number): Promise<void> {
    const spacingMs = 1000 / perSecond;
    for (let ms = 0; ms < durationMs; ms += spacingMs) {
      const running = this._fleet.hosts.filter(host => host.isRunning);
      const host = running[random.below(running.length)];
      if (host) this.send(host, random);
      await this._fleet.clock.advance(spacingMs);
    }
  }

  send(host: FleetHost, random: SeededRandom): void {
    const accountName = `account-${random.below(7)}`;
    const request = lookupRequest(random.id(), '/a/x', { accountName });
    void host.gateway.forwarder.forward(request, LOOKUP_ROUTE, NEVER_ABORTED);
  }

  /** Returns the windows whose report is missing, or wrong by more than the tolerance. */
  mismatches(from: number, to: number): readonly string[] {
    const wrong: string[] = [];
    for (let window = from; window <= to; window++) {
      const began = this.began.get(window) ?? 0;
      const report = this._fleet.duties.reports.get(window);
      const reported = report && Object.values(report.counts).reduce((sum, count) => sum + count, 0);
      if (reported === undefined || Math.abs(reported - began) > began * TOLERANCE)
        wrong.push(`window ${window}: ${reported ?? 'none'} of ${began}`);
    }
    return wrong;
  }
}

export async function startedFleet(
  size: FleetSize = SMALL_FLEET,
): Promise<{ fleet: GatewayFleet; truth: ExpectedUsage }> {
  const fleet = new GatewayFleet(size);
  const truth = new ExpectedUsage(fleet);
  await fleet.start();
  await fleet.clock.advance(8000 - 300);
  return { fleet, truth };
}

export function reporterOf(fleet: GatewayFleet): FleetHost {
  const hostId = fleet.store.value('fuchsiahitch/live/usage') ?? '';
  const host = fleet.hostAt(hostId);
  if (!host) throw new Error('no host holds the usage lease');
  return host;
}
