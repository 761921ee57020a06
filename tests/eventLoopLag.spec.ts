/**
 * Event loop lag: pending I/O is read before time-outs take effect.
 */
import tap from 'tap';
import { Deadline, SystemClock } from '@fuchsiahitch/base';
import type { EndpointInfo, ItemCall, ItemEnd, ItemProgressListener } from '@fuchsiahitch/gateway';
import { PlatformEndpointClient, StoreClient } from '@fuchsiahitch/platform';
import { GatewayWorld, type GatewayHost } from './gatewayHosts.js';
import { batch, endpointRecord, item, keys } from './gatewayFixtures.js';
import { validResponse, WireServer } from './platformStandIns.js';

const EVENT_MS = 45;

interface Run {
  readonly endpointId: string;
  readonly listener: ItemProgressListener;
  number: number;
}

/** Item streams whose events are delivered by the test. */
class Streams {
  /** Number of runs that were started, including abandoned ones. */
  startedRuns = 0;
  private readonly _open = new Set<Run>();

  async run(call: ItemCall, listener: ItemProgressListener, signal: AbortSignal): Promise<ItemEnd> {
    this.startedRuns += 1;
    const run = { endpointId: call.endpoint.id, listener, number: call.afterEvent };
    listener.began(1, undefined);
    this._open.add(run);
    await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve()));
    this._open.delete(run);
    return { kind: 'cancelled' };
  }

  /** Delivers the next events of each run, or of the runs at one endpoint. */
  deliver(events: number, endpointId?: string): void {
    for (const run of this._open) {
      if (endpointId !== undefined && run.endpointId !== endpointId) continue;
      for (let i = 0; i < events; i++) {
        run.number += 1;
        run.listener.event({ number: run.number, text: 'word', version: 1 });
      }
    }
  }
}

interface Running {
  readonly world: GatewayWorld;
  readonly host: GatewayHost;
  readonly streams: Streams;
}

/** Runs two items at two endpoints for two seconds without lag. */
async function startTwoRuns(): Promise<Running> {
  const world = new GatewayWorld();
  const streams = new Streams();
  world.client.runItem = (...args) => streams.run(...args);
  const host = world.start('a');
  await world.clock.advance(200);
  const submitted = batch('b1', [item('x', { group: 'g1' }), item('y', { group: 'g2' })]);
  await world.until(host.batches.submit(submitted, Deadline.after(world.clock, 1000)));
  await deliverEvents({ world, host, streams }, 2000);
  return { world, host, streams };
}

/** Delivers events at a constant pace without lag. */
async function deliverEvents({ world, streams }: Running, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += EVENT_MS) {
    await world.clock.advance(EVENT_MS);
    streams.deliver(1);
  }
}

function paces(host: GatewayHost): readonly (number | undefined)[] {
  return host.endpoints.all().map(endpoint => Math.round(endpoint.paceMs() ?? 0));
}

await tap.test('should continue runs whose events arrived while the event loop was blocked', async t => {
  // Guards against stall time-outs that fire before events which have already arrived are read.
  const running = await startTwoRuns();
  const { world, host, streams } = running;
  t.equal(streams.startedRuns, 2);
  await world.clock.blockEventLoop(2000, () => streams.deliver(44));
  await deliverEvents(running, 500);
  t.equal(streams.startedRuns, 2, 'no run was abandoned');
  t.notOk(host.context.log.has('item attempt'));
  t.same(paces(host), [EVENT_MS, EVENT_MS], 'the blocked time does not affect the pace');
  world.stop();
});

await tap.test(
  'should not move items because of a pace measured while the event loop was blocked',
  async t => {
    // Guards against counting the blocked time as the pace of one endpoint, which would move its items.
    const running = await startTwoRuns();
    const { world, host, streams } = running;
    await world.clock.blockEventLoop(340, () => {
      streams.deliver(1, 'e1');
      streams.deliver(7, 'e2');
    });
    await deliverEvents(running, 500);
    t.equal(streams.startedRuns, 2);
    t.same(paces(host), [EVENT_MS, EVENT_MS]);
    world.stop();
  },
);

await tap.test('should abandon an unresponsive endpoint soon after the event loop was blocked', async t => {
  const running = await startTwoRuns();
  const { world, streams } = running;
  await world.clock.blockEventLoop(1000, () => streams.deliver(22, 'e2'));
  for (let passedMs = 0; passedMs < 100; passedMs += EVENT_MS) {
    await world.clock.advance(EVENT_MS);
    streams.deliver(1, 'e2');
  }
  await world.clock.advance(10);
  t.equal(streams.startedRuns, 3, 'in 150 ms');
  world.stop();
});

await tap.test(
  'should abandon an unresponsive endpoint while the event loop is blocked repeatedly',
  async t => {
    const { world, streams } = await startTwoRuns();
    let blockedMs = 0;
    for (; blockedMs < 5000 && streams.startedRuns === 2; blockedMs += 200)
      await world.clock.blockEventLoop(200, () => streams.deliver(4, 'e2'));
    t.ok(blockedMs <= 1200, `abandoned after ${blockedMs} ms`);
    world.stop();
  },
);

await tap.test('should read pending I/O between the starts of the items of a large batch', async t => {
  // Guards against starting all runs of a batch in one iteration of the event loop, which delays leases and calls.
  const world = new GatewayWorld();
  world.store.put(`${keys.endpointPrefix}e1`, endpointRecord({ slots: 200 }));
  const streams = new Streams();
  let inIteration = 0;
  let mostInIteration = 0;
  world.client.runItem = (...args) => {
    if (inIteration === 0)
      setImmediate(() => {
        inIteration = 0;
      });
    inIteration += 1;
    mostInIteration = Math.max(mostInIteration, inIteration);
    return streams.run(...args);
  };
  const host = world.start('a');
  await world.clock.advance(200);
  const items = Array.from({ length: 144 }, (_, i) => item(`x${i}`));
  await world.until(host.batches.submit(batch('b1', items), Deadline.after(world.clock, 1000)));
  // Each advance is one iteration of the event loop.
  for (let iteration = 0; iteration < 10; iteration++) await world.clock.advance(1);
  t.equal(streams.startedRuns, 144, 'without a noticeable delay');
  t.ok(mostInIteration <= 16, `${mostInIteration} in one iteration`);
  world.stop();
});

await tap.test('should measure the event loop lag of the last seconds', async t => {
  const world = new GatewayWorld();
  const { eventLoop: loop } = world.start('a').context;
  await world.clock.advance(1000);
  t.equal(loop.recentLagMs(), 0);
  const beforeMs = world.clock.nowMs();
  t.ok(loop.hasNoLagSince(beforeMs));
  await world.clock.blockEventLoop(1000, () =>
    t.notOk(loop.hasNoLagSince(beforeMs), 'while pending I/O is read'),
  );
  t.ok(loop.recentLagMs() >= 950, 'a tick is due every 50 ms');
  await world.clock.advance(100);
  t.notOk(loop.hasNoLagSince(beforeMs));
  t.ok(loop.hasNoLagSince(world.clock.nowMs()));
  await world.clock.advance(2000);
  t.ok(loop.recentLagMs() >= 950);
  await world.clock.advance(4000);
  t.equal(loop.recentLagMs(), 0);
  world.stop();
});

/** Far longer than a local answer takes on a busy machine. */
const ANSWER_MS = 600;
/** Blocks the event loop beyond the time-out. */
const BLOCKED_MS = 800;

/** Blocks the event loop. */
function blockLoop(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

await tap.test('should accept an answer that arrived while the event loop was blocked', async t => {
  // Guards against a time-out that takes effect before an answer which has already arrived is read.
  const server = new WireServer();
  const address = await server.listen();
  server.answer = (request, socket) => {
    const isReport = request.target === '/v1/report';
    const answer = isReport ? { models: [], busy: false, seq: 4 } : { key: 'k', value: 'djE=', revision: 3 };
    socket.write(validResponse(request, JSON.stringify(answer)));
    blockLoop(BLOCKED_MS);
  };
  const store = new StoreClient(address, () => undefined);
  const got = await store.get('k', Deadline.after(new SystemClock(), ANSWER_MS));
  t.match(got, { ok: true, value: { value: 'v1', version: 3 } });
  const endpoint: EndpointInfo = {
    id: 'i-1',
    startWallMs: 0,
    address,
    pool: 's1',
    domain: 'tekapo',
    slots: 4,
    isLeaving: false,
    versions: new Map(),
  };
  const report = await new PlatformEndpointClient().report(endpoint, ANSWER_MS);
  t.match(report, { sequence: 4 });
  await server.close();
});
