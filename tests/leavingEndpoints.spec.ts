/**
 * The bound from the store's acknowledgement that an endpoint is leaving to the arrival of the last request there.
 */
import tap from 'tap';
import { DRAIN_MS, LeavingFaults, LeavingFleet } from './leavingFleet.js';
import type { LeavingKind } from './gatewayFleet.js';

const KINDS: readonly LeavingKind[] = ['draining', 'removed'];
const PHASES = 10;
const PHASE_MS = 130;

/** The latest arrival at a leaving endpoint, over the phases of the hosts' calls. */
async function latestArrival(
  hosts: number,
  kind: LeavingKind,
  fault: (world: LeavingFleet) => Promise<void>,
): Promise<number> {
  const latest: number[] = [];
  for (let phase = 0; phase < PHASES; phase++) {
    const world = new LeavingFleet(hosts);
    await world.start();
    await world.run(phase * PHASE_MS);
    await fault(world);
    const arrivedMs = world.leave(1, kind);
    await world.run(5000);
    latest.push(arrivedMs());
    world.stop();
  }
  return Math.max(...latest);
}

await tap.test(
  'should send nothing to a leaving endpoint after its bound when a watch gets no answer',
  async t => {
    // Guards against a host that waits for seconds for one lost answer while the store answers new calls.
    for (const kind of KINDS) {
      const alone = await latestArrival(1, kind, async world => {
        for (const host of world.hosts) host.storeClient.mode = 'silent';
        await world.run(100);
        for (const host of world.hosts) host.storeClient.mode = 'available';
      });
      t.ok(alone <= DRAIN_MS, `${kind}: one host, ${alone} ms`);
    }
    for (let seed = 1; seed <= 40; seed++) {
      const world = new LeavingFleet(3);
      await world.start();
      const faults = new LeavingFaults(world, seed);
      faults.schedule(6, 4000);
      await world.run(1500 + faults.below(2500));
      const arrivedMs = world.leave(1, KINDS[seed % 2] ?? 'draining');
      await world.run(6000);
      t.ok(arrivedMs() <= DRAIN_MS, `seed ${seed}: ${arrivedMs()} ms; ${faults.story.join(', ')}`);
      world.stop();
    }
  },
);

await tap.test('should apply a removal without notice in time after refused calls', async t => {
  // Guards against a removal that is put down to an outage which was too short for a record to expire.
  const latest = await latestArrival(3, 'removed', async world => {
    for (const host of world.hosts) host.storeClient.mode = 'refusing';
    await world.run(1200);
    for (const host of world.hosts) host.storeClient.mode = 'available';
    await world.run(400);
  });
  t.ok(latest <= DRAIN_MS, `${latest} ms`);
});

await tap.test(
  'should not write a request that was decided before the news that its endpoint leaves',
  async t => {
    // Guards against requests that wait for a connection, or in a paused process, and are written on an old decision.
    const world = new LeavingFleet(1);
    await world.start();
    world.connectMs = 500;
    const arrivedMs = world.leave(1, 'draining');
    let knownMs = Infinity;
    const leftMs = world.clock.nowMs();
    while (world.clock.nowMs() < leftMs + 3000) {
      await world.run(20);
      if (world.hosts[0]?.gateway.endpoints.get('e1')?.isLeaving)
        knownMs = Math.min(knownMs, world.clock.nowMs() - leftMs);
    }
    t.ok(arrivedMs() <= knownMs, `known after ${knownMs} ms, last arrival after ${arrivedMs()} ms`);
    t.ok((world.outcomes.get('answered') ?? 0) > 100, 'requests are sent to other endpoints instead');
    t.equal(world.outcomes.get('not-run') ?? 0, 0);
    world.connectMs = 0;
    await world.run(1000);
    const pausedArrivedMs = await world.pauseDuring(
      () => world.leave(2, 'draining'),
      host => {
        for (let i = 0; i < 20; i++) world.send(host);
      },
    );
    await world.run(2000);
    t.equal(pausedArrivedMs(), 0, 'a paused host asks the store before it decides');
    world.stop();
  },
);

await tap.test('should withhold streams and items as well as requests', async t => {
  // Guards against a way to an endpoint that does not ask again right before the write.
  const world = new LeavingFleet(1);
  await world.start();
  const [host] = world.hosts;
  if (!host) return;
  world.connectMs = 250;
  const sendAll = async (durationMs: number): Promise<void> => {
    const endMs = world.clock.nowMs() + durationMs;
    while (world.clock.nowMs() < endMs) {
      world.stream(host);
      world.submit(host);
      await world.run(20);
    }
  };
  await sendAll(1000);
  world.leave(1, 'removed');
  while (host.gateway.endpoints.get('e1')) await sendAll(20);
  const knownMs = world.clock.nowMs();
  await sendAll(1000);
  for (const kind of ['request', 'stream', 'item'] as const) {
    const sent = world.arrivals.filter(arrival => arrival.kind === kind);
    t.ok(
      sent.some(({ endpointId }) => endpointId === 'e1'),
      `${kind}: sent before`,
    );
    t.ok(
      sent.some(({ atMs }) => atMs > knownMs),
      `${kind}: sent elsewhere after`,
    );
    t.same(
      sent.filter(({ endpointId, atMs }) => endpointId === 'e1' && atMs > knownMs),
      [],
      kind,
    );
  }
  world.stop();
});

await tap.test('should decide the first request after a pause on the configuration in force', async t => {
  // Guards against a host that was stopped and applies the configuration from before to what waits in its sockets.
  const world = new LeavingFleet(1);
  await world.start();
  const [host] = world.hosts;
  if (!host) return;
  t.match(host.gateway.configuration.route('quests', '/run/1'), { kind: 'routed', revision: 1 });
  const revisions: unknown[] = [];
  await world.pauseDuring(
    () => world.configure(2),
    ({ gateway }) => {
      void gateway.serve(() => {
        const routed = gateway.configuration.route('quests', '/run/1');
        revisions.push(routed.kind === 'routed' ? routed.revision : routed.kind);
        return Promise.resolve();
      });
    },
  );
  await world.run(1000);
  t.same(revisions, [2]);
  world.stop();
});
