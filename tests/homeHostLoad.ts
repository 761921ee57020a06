/**
 * Measures the connections and store calls of four trainers whose steps arrive at changing hosts, with and without home
 * hosts.
 */
import tap from 'tap';
import { Deadline, SeededRandom, type Clock } from '@fuchsiahitch/base';
import { countsOf } from './fleetCounts.js';
import { GatewayFleet, type FleetHost } from './gatewayFleet.js';
import { batch, item, type ScriptedClient } from './gatewayFixtures.js';

const TRAINERS = 4;
const STEPS = 20;
const ITEMS = 32;
/** All times are an eighth of those of a deployment, since the idle work of the hosts takes most of a test's time. */
const STEP_MS = 500;
const READ_AFTER_MS = 300;
const EVENT_MS = 40;
const SLOTS = 8;
const ENDPOINTS = 16;
export const DOMAINS = 3;
/** Endpoints keep idle connections for 10 s, and the client closes them 2 s earlier: here an eighth of 8 s. */
const IDLE_MS = 1000;

/** Counts the connections that are opened if each request takes an idle connection of its host when there is one. */
class ConnectionModel {
  opened = 0;
  private readonly _idleUntilMs = new Map<string, number[]>();

  clientOf(shared: ScriptedClient, hostId: string, clock: () => Clock): ScriptedClient {
    const own = Object.create(shared) as ScriptedClient;
    own.runItem = async (call, listener, signal) => {
      const key = `${hostId}/${call.endpoint.address}`;
      const nowMs = clock().nowMs();
      const idle = (this._idleUntilMs.get(key) ?? []).filter(untilMs => untilMs > nowMs);
      this._idleUntilMs.set(key, idle);
      if (idle.pop() === undefined) this.opened += 1;
      const end = await shared.runItem(call, listener, signal);
      if (end.kind === 'done') this._idleUntilMs.get(key)?.push(clock().nowMs() + IDLE_MS);
      return end;
    };
    return own;
  }
}

/** Means per step. `owners`: the number of hosts that owned a trainer's batches. */
interface StepCosts {
  readonly connections: number;
  readonly storeCalls: number;
  readonly peerCalls: number;
  readonly listed: number;
  readonly owners: number;
}

/** Trainers that submit, read and end each step at a random host of the accepting failure domains. */
class TrainerLoad {
  /** Number of results that were read. */
  listed = 0;
  /** Pairs of a trainer and a host that owned one of its batches. */
  readonly owners = new Set<string>();
  private readonly _fleet: GatewayFleet;
  private readonly _accepting: readonly FleetHost[];
  private readonly _random = new SeededRandom(11);

  constructor(fleet: GatewayFleet, acceptingDomains: number) {
    this._fleet = fleet;
    this._accepting = fleet.hosts.filter((_, i) => i % DOMAINS < acceptingDomains);
  }

  async runTrainer(trainer: number): Promise<void> {
    for (let step = 1; step <= STEPS; step++) {
      const startMs = this._fleet.clock.nowMs();
      await this._runStep(trainer, step);
      await this._wait(Math.max(0, startMs + STEP_MS - this._fleet.clock.nowMs()));
    }
  }

  private async _runStep(trainer: number, step: number): Promise<void> {
    const id = `t${trainer}-${step}`;
    const items = Array.from({ length: ITEMS }, (_, i) => item(`${id}-${i}`, { group: `g${i >> 3}` }));
    const given = batch(id, items, { step, accountName: `trainer-${trainer}` });
    const deadline = Deadline.after(this._fleet.clock, 3000);
    await this._anyHost()?.gateway.batches.submit(given, deadline);
    await this._wait(READ_AFTER_MS);
    const read = await this._anyHost()?.gateway.batches.read(id, 0, 500);
    if (read?.kind === 'page') this.listed += read.page.results.length;
    const claim = JSON.parse(this._fleet.store.value(`fuchsiahitch/own/${id}`) ?? '{}') as {
      readonly owner?: { readonly hostId: string };
    };
    this.owners.add(`${trainer}/${claim.owner?.hostId ?? ''}`);
    await this._anyHost()?.gateway.batches.end(id);
  }

  private _anyHost(): FleetHost | undefined {
    return this._accepting[this._random.below(this._accepting.length)];
  }

  private async _wait(ms: number): Promise<void> {
    await new Promise<void>(resolve => void this._fleet.clock.after(ms, resolve));
  }
}

/** `acceptingDomains`: the failure domains at which the submissions arrive. */
async function measureSteps(hosts: number, isScarce: boolean, acceptingDomains: number): Promise<StepCosts> {
  const connections = new ConnectionModel();
  const fleet: GatewayFleet = new GatewayFleet({
    hosts,
    domains: DOMAINS,
    endpoints: ENDPOINTS,
    slots: SLOTS,
    isHeartbeatDisabled: true,
    connectionLimit: isScarce ? hosts * SLOTS - 1 : hosts * SLOTS,
    clientOf: (shared, hostId) => connections.clientOf(shared, hostId, () => fleet.clock),
  });
  fleet.client.script = call => ({ events: 2 - call.afterEvent, end: { kind: 'done' }, eventMs: EVENT_MS });
  await fleet.start();
  await fleet.clock.advance(2000);
  const load = new TrainerLoad(fleet, acceptingDomains);
  // The idle fleet makes the same calls in each run.
  const before = countsOf(fleet);
  const running = Promise.all(Array.from({ length: TRAINERS }, (_, i) => load.runTrainer(i)));
  await fleet.clock.advance(STEPS * STEP_MS + 3000);
  await running;
  const after = countsOf(fleet);
  fleet.stop();
  const steps = TRAINERS * STEPS;
  return {
    connections: connections.opened / steps,
    storeCalls: (after.storeCalls - before.storeCalls) / steps,
    peerCalls: (after.peerCalls - before.peerCalls) / steps,
    listed: load.listed / steps,
    owners: load.owners.size / TRAINERS,
  };
}

/**
 * Fails if a trainer's steps run from changing hosts, which open a connection for almost every item, or if home hosts
 * cost store calls. A trainer has one home in each failure domain at which it submits, and each of these homes loses its
 * connections if it is used less often than they time out.
 */
export async function testLoad(hosts: number, domains: number): Promise<void> {
  await tap.test(`should need less with home hosts, ${hosts} hosts, ${domains} domains`, async t => {
    const accepting = await measureSteps(hosts, false, domains);
    const home = await measureSteps(hosts, true, domains);
    const label = `accepting host ${JSON.stringify(accepting)}, home ${JSON.stringify(home)}`;
    t.comment(label);
    t.same([accepting.listed, home.listed], [ITEMS, ITEMS], label);
    t.ok(home.owners <= domains, label);
    t.ok(home.connections <= accepting.connections * (domains === 1 ? 0.4 : 0.8), label);
    t.ok(home.storeCalls <= accepting.storeCalls, label);
  });
}
