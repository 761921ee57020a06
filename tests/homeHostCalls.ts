/**
 * Hosts with scarce connections, in the order in which they are asked to own the batches of the test's trainer.
 */
import { Deadline } from '@fuchsiahitch/base';
import { HomeHost, type Batch } from '@fuchsiahitch/batches';
import { BATCH, startHosts } from './batchCalls.js';
import { keys, route } from './gatewayFixtures.js';
import type { GatewayHost, GatewayWorld } from './gatewayHosts.js';

export interface ScarceHosts {
  readonly world: GatewayWorld;
  readonly hosts: readonly GatewayHost[];
  /** The first and the second candidate. */
  readonly home: GatewayHost;
  readonly next: GatewayHost;
  /** The last candidate. */
  readonly accepting: GatewayHost;
  /** All hosts except the first and the last candidate. */
  readonly others: readonly GatewayHost[];
}

/** Fewer connections per host than an endpoint has slots. */
const SCARCE_LIMIT = 4;

export async function startScarceHosts(...hostIds: readonly string[]): Promise<ScarceHosts> {
  const [world, ...hosts] = await startHosts(...hostIds);
  world.store.put(
    keys.configurationKey,
    JSON.stringify({
      revision: 2,
      route: route(),
      models: ['m'],
      connectionLimits: { 'gen-pool': SCARCE_LIMIT },
    }),
  );
  await world.clock.advance(100);
  const peers = hostIds.map(hostId => ({ hostId, isOwnDomain: true }));
  const order = new HomeHost()
    .candidates(BATCH, peers, hostIds[0] ?? '')
    .map(hostId => world.hosts.get(hostId))
    .filter(host => host !== undefined);
  const [home, next] = order;
  const accepting = order.at(-1);
  if (!home || !next || !accepting) throw new Error('at least two hosts are needed');
  return { world, hosts, home, next, accepting, others: order.slice(1, -1) };
}

export function submitAt(
  world: GatewayWorld,
  host: GatewayHost,
  given: Batch,
  waitMs = 1000,
): Promise<string> {
  const outcome = host.batches.submit(given, Deadline.after(world.clock, waitMs));
  return world.until(outcome.then(({ kind }) => kind));
}

/** The owner that the claim in the store names. */
export function claimOwner(world: GatewayWorld, batchId: string): string | undefined {
  const claim = world.store.value(`fuchsiahitch/own/${batchId}`);
  return claim === undefined
    ? undefined
    : (JSON.parse(claim) as { readonly owner: { readonly hostId: string } }).owner.hostId;
}

/** Sets the event loop lag that the host measures from now on; 0 for none. */
export function setLag(host: GatewayHost, lagMs: number): void {
  const { eventLoop } = host.context;
  eventLoop.recentLagMs = () => lagMs;
  eventLoop.hasNoLagSince = () => lagMs === 0;
}

/** A promise that stays pending. */
export function never(): Promise<never> {
  return new Promise<never>(() => undefined);
}
