/**
 * Poison requests among sound ones while endpoints end for other reasons, the store is away and hosts start again, by seeds.
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

/** One run of a fleet under random faults, followed by a calm. */
class Soak {
  readonly completed: CompletedRequest[] = [];
  readonly fleet = new GatewayFleet({ hosts: HOSTS, domains: 3, endpoints: 0 });
  readonly endpoints = new CrashingEndpoints(this.fleet);
  /** When the store was last disturbed, or the hosts were started again. */
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
    this._setStore('well');
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
    if (draw === 7) this._setStore('away');
    if (draw === 8) this._setStore('silent');
    if (draw >= 9 && draw < 40) this._setStore('well');
    if (draw === 40) await this._restartAll();
  }

  private async _restartAll(): Promise<void> {
    for (const host of this.fleet.hosts) host.kill();
    await this.fleet.start(`again-${this._sentCount}`);
    this.lastFaultMs = this.fleet.clock.nowMs();
  }

  private _setStore(mode: 'well' | 'away' | 'silent'): void {
    const { hosts, clock } = this.fleet;
    if (hosts.some(host => host.storeClient.mode !== 'well' || mode !== 'well'))
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

await tap.test(
  'should keep poison requests from endpoints and sound ones served, under random faults',
  async t => {
    const { numRuns, seed: firstSeed } = fuzzRuns(6);
    for (let seed = firstSeed; seed < firstSeed + numRuns; seed++) {
      const soak = new Soak(seed);
      await soak.run();
      const label = `seed ${seed}`;
      const isSound = ({ target }: CompletedRequest): boolean => !POISON_TARGETS.includes(target);
      const rejected = soak.completed.filter(served => isSound(served) && served.kind === 'rejected');
      t.same(rejected, [], `${label}: nothing sound is rejected`);
      const calmMs = (STEPS + 30) * STEP_MS + 1300;
      const unserved = soak.completed.filter(
        served =>
          isSound(served) && served.atMs > calmMs + ANNOUNCEMENT_BOUND_MS && served.kind !== 'answered',
      );
      t.same(unserved, [], `${label}: all that is sound is served once it is calm`);
      for (const target of POISON_TARGETS) {
        const third = soak.endpoints.crashes.filter(end => end.target === target)[2];
        const knownMs = Math.max(third?.atMs ?? Infinity, soak.lastFaultMs) + ANNOUNCEMENT_BOUND_MS;
        const later = soak.endpoints.receivedFor(target).filter(({ atMs }) => atMs > knownMs);
        t.ok(later.length <= MAX_LATER_SENDS, `${label}: ${later.length} later sends of ${target}`);
      }
    }
  },
);
