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
/** All times are a quarter of those of a deployment, since the idle work of the hosts takes most of a test's time. */
const STEP_MS = 1000;
const READ_AFTER_MS = 600;
const EVENT_MS = 80;
const SLOTS = 8;
const ENDPOINTS = 16;
export const DOMAINS = 3;
/** Endpoints keep idle connections for 10 s, and the client closes them 2 s earlier: here a quarter of 8 s. */
const IDLE_MS = 2000;

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
  const random = new SeededRandom(11);
  const accepting = fleet.hosts.filter((_, i) => i % DOMAINS < acceptingDomains);
  const anyHost = (): FleetHost | undefined => accepting[random.below(accepting.length)];
  // The idle fleet makes the same calls in each run.
  const before = countsOf(fleet);
  const owners = new Set<string>();
  let listed = 0;
  const runTrainer = async (trainer: number): Promise<void> => {
    for (let step = 1; step <= STEPS; step++) {
      const id = `t${trainer}-${step}`;
      const items = Array.from({ length: ITEMS }, (_, i) => item(`${id}-${i}`, { group: `g${i >> 3}` }));
      const given = batch(id, items, { step, accountName: `trainer-${trainer}` });
      const startMs = fleet.clock.nowMs();
      const deadline = Deadline.after(fleet.clock, 3000);
      await anyHost()?.gateway.batches.submit(given, deadline);
      await new Promise<void>(resolve => void fleet.clock.after(READ_AFTER_MS, resolve));
      const read = await anyHost()?.gateway.batches.read(id, 0, 500);
      if (read?.kind === 'page') listed += read.page.results.length;
      const claim = JSON.parse(fleet.store.value(`fuchsiahitch/own/${id}`) ?? '{}') as {
        readonly owner?: { readonly hostId: string };
      };
      owners.add(`${trainer}/${claim.owner?.hostId ?? ''}`);
      await anyHost()?.gateway.batches.end(id);
      const leftMs = Math.max(0, startMs + STEP_MS - fleet.clock.nowMs());
      await new Promise<void>(resolve => void fleet.clock.after(leftMs, resolve));
    }
  };
  const running = Promise.all(Array.from({ length: TRAINERS }, (_, i) => runTrainer(i)));
  await fleet.clock.advance(STEPS * STEP_MS + 3000);
  await running;
  const after = countsOf(fleet);
  fleet.stop();
  const steps = TRAINERS * STEPS;
  return {
    connections: connections.opened / steps,
    storeCalls: (after.storeCalls - before.storeCalls) / steps,
    peerCalls: (after.peerCalls - before.peerCalls) / steps,
    listed: listed / steps,
    owners: owners.size / TRAINERS,
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
