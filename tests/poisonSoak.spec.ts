/**
 * Poison and valid requests under seeded random faults: endpoint crashes, store outages and host restarts.
 */
import tap from 'tap';
import { SeededRandom, type Random } from '@fuchsiahitch/base';
import type { ForwardOutcome } from '@fuchsiahitch/gateway';
import { CrashingEndpoints } from './crashingEndpoints.js';
import { fuzzRuns } from './fuzzRuns.js';
import { GatewayFleet } from './gatewayFleet.js';
import {
  ANNOUNCEMENT_BOUND_MS,
  LOOKUP_ROUTE,
  lookupRequest,
  MAX_LATER_SENDS,
  NEVER_ABORTED,
} from './lookupRequests.js';

const STEP_MS = 100;
const STEPS = 300;
const CALM_STEPS = 100;
const HOSTS = 9;
const POISON_TARGETS = ['/deadly/1', '/deadly/2'];
const POPULAR_TARGET = '/popular';

interface CompletedRequest {
  readonly target: string;
  readonly atMs: number;
  readonly kind: ForwardOutcome['kind'];
}

/** One run of a fleet under random faults, followed by a period without faults. */
class Soak {
  readonly completed: CompletedRequest[] = [];
  readonly fleet = new GatewayFleet({ hosts: HOSTS, domains: 3, endpoints: 0 });
  readonly endpoints = new CrashingEndpoints(this.fleet);
  /** When the store last failed or the hosts last restarted. */
  lastFaultMs = 0;
  private readonly _random: Random;
  private _sentCount = 0;

  constructor(seed: number) {
    this._random = new SeededRandom(seed);
    this.endpoints.isPoison = ({ target }) => POISON_TARGETS.includes(target);
  }

  async run(): Promise<void> {
    const { fleet, endpoints } = this;
    for (let i = 0; i < 3 + this._random.below(6); i++) endpoints.add('storefront');
    await fleet.start();
    await fleet.clock.advance(1000);
    for (let step = 0; step < STEPS; step++) {
      await this._injectFault();
      this._sendRandom();
      await fleet.clock.advance(STEP_MS);
    }
    this._setStore('available');
    for (let step = 0; step < CALM_STEPS; step++) {
      this._sendRandom();
      await fleet.clock.advance(STEP_MS);
    }
    await fleet.clock.advance(2000);
    fleet.stop();
  }

  private async _injectFault(): Promise<void> {
    const draw = this._random.below(400);
    if (draw < 6) this.endpoints.crashBusiest('storefront');
    if (draw === 6) this.endpoints.crashAll('storefront');
    if (draw === 7) this._setStore('refusing');
    if (draw === 8) this._setStore('silent');
    if (draw >= 9 && draw < 40) this._setStore('available');
    if (draw === 40) await this._restartAll();
  }

  private async _restartAll(): Promise<void> {
    for (const host of this.fleet.hosts) host.kill();
    await this.fleet.start(`again-${this._sentCount}`);
    this.lastFaultMs = this.fleet.clock.nowMs();
  }

  private _setStore(mode: 'available' | 'refusing' | 'silent'): void {
    const { hosts, clock } = this.fleet;
    if (hosts.some(host => host.storeClient.mode !== 'available' || mode !== 'available'))
      this.lastFaultMs = clock.nowMs();
    for (const host of hosts) host.storeClient.mode = mode;
  }

  private _sendRandom(): void {
    const draw = this._random.below(10);
    if (draw === 0) this._send(POISON_TARGETS[this._random.below(POISON_TARGETS.length)] ?? '');
    else this._send(draw < 5 ? POPULAR_TARGET : `/single/${this._sentCount}`);
  }

  private _send(target: string): void {
    this._sentCount += 1;
    const atMs = this.fleet.clock.nowMs();
    const host = this.fleet.hosts[this._random.below(HOSTS)];
    void host?.gateway.forwarder
      .forward(lookupRequest(`r${this._sentCount}`, target), LOOKUP_ROUTE, NEVER_ABORTED)
      .then(({ kind }) => this.completed.push({ target, atMs, kind }));
  }
}

await tap.test('should withhold poison requests and serve valid ones under random faults', async t => {
  const { numRuns, seed: firstSeed } = fuzzRuns(6);
  for (let seed = firstSeed; seed < firstSeed + numRuns; seed++) {
    const soak = new Soak(seed);
    await soak.run();
    const label = `seed ${seed}`;
    const isValid = ({ target }: CompletedRequest): boolean => !POISON_TARGETS.includes(target);
    const rejected = soak.completed.filter(request => isValid(request) && request.kind === 'rejected');
    t.same(rejected, [], `${label}: no valid request is rejected`);
    const calmMs = (STEPS + 30) * STEP_MS + 1300;
    const unserved = soak.completed.filter(
      request =>
        isValid(request) && request.atMs > calmMs + ANNOUNCEMENT_BOUND_MS && request.kind !== 'answered',
    );
    t.same(unserved, [], `${label}: all valid requests are served after the faults`);
    for (const target of POISON_TARGETS) {
      const third = soak.endpoints.crashes.filter(crash => crash.target === target)[2];
      const knownMs = Math.max(third?.atMs ?? Infinity, soak.lastFaultMs) + ANNOUNCEMENT_BOUND_MS;
      const later = soak.endpoints.receivedFor(target).filter(({ atMs }) => atMs > knownMs);
      t.ok(later.length <= MAX_LATER_SENDS, `${label}: ${later.length} later sends of ${target}`);
    }
  }
});
