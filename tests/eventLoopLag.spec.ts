/**
 * An event loop that runs late: what has arrived is read before anything is given up.
 */
import tap from 'tap';
import { Deadline, SystemClock } from '@fuchsiahitch/base';
import type { EndpointInfo, ItemCall, ItemEnd, ItemListener } from '@fuchsiahitch/gateway';
import { PlatformEndpoints, StoreClient } from '@fuchsiahitch/platform';
import { GatewayWorld, type GatewayHost } from './gatewayHosts.js';
import { batch, endpointRecord, item, keys } from './gatewayFixtures.js';
import { genuine, WireServer } from './platformStandIns.js';

const EVENT_MS = 45;

interface Run {
  readonly endpointId: string;
  readonly listener: ItemListener;
  number: number;
}

/** Streams whose events arrive when the test says so. */
class Streams {
  /** Every run that was begun, those that were given up too. */
  begun = 0;
  private readonly _open = new Set<Run>();

  async run(call: ItemCall, listener: ItemListener, signal: AbortSignal): Promise<ItemEnd> {
    this.begun += 1;
    const run = { endpointId: call.endpoint.id, listener, number: call.afterEvent };
    listener.began(1, undefined);
    this._open.add(run);
    await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve()));
    this._open.delete(run);
    return { kind: 'cancelled' };
  }

  /** The next events of each run arrive, or of those at one endpoint. */
  arrive(events: number, endpointId?: string): void {
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

/** Two items that run at two endpoints, for two seconds on a loop that is on time. */
async function twoRuns(): Promise<Running> {
  const world = new GatewayWorld();
  const streams = new Streams();
  world.client.runItem = (...args) => streams.run(...args);
  const host = world.start('a');
  await world.clock.advance(200);
  const given = batch('b1', [item('x', { group: 'g1' }), item('y', { group: 'g2' })]);
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
  await flow({ world, host, streams }, 2000);
  return { world, host, streams };
}

/** Events come evenly, and the loop is on time. */
async function flow({ world, streams }: Running, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += EVENT_MS) {
    await world.clock.advance(EVENT_MS);
    streams.arrive(1);
  }
}

function paces(host: GatewayHost): readonly (number | undefined)[] {
  return host.endpoints.all().map(endpoint => Math.round(endpoint.paceMs() ?? 0));
}

await tap.test('should keep the runs whose events arrived while the process was held up', async t => {
  // Symptom: an owner on a host with a third of a core makes four attempts an item, most of them `stalled` or
  // `cancelled`, and lists hardly a result. Sequence: its process is held up for longer than an endpoint may be silent;
  // meanwhile the events come. Cause: the loop runs the timers that fell due before it reads what has arrived.
  const running = await twoRuns();
  const { world, host, streams } = running;
  t.equal(streams.begun, 2);
  await world.clock.blockEventLoop(2000, () => streams.arrive(44));
  await flow(running, 500);
  t.equal(streams.begun, 2, 'no run was given up');
  t.notOk(host.context.log.has('item attempt'));
  t.same(paces(host), [EVENT_MS, EVENT_MS], 'nor a pace taken from that time');
  world.stop();
});

await tap.test('should move nothing for a pace of the time in which the process was held up', async t => {
  // Symptom: items leave sound endpoints, and each move costs a prompt. Sequence: the process is held up; of one endpoint
  // it then reads one event, of the other all that have come. Cause: the pause counts as one endpoint's pace.
  const running = await twoRuns();
  const { world, host, streams } = running;
  await world.clock.blockEventLoop(340, () => {
    streams.arrive(1, 'e1');
    streams.arrive(7, 'e2');
  });
  await flow(running, 500);
  t.equal(streams.begun, 2);
  t.same(paces(host), [EVENT_MS, EVENT_MS]);
  world.stop();
});

await tap.test('should give a silent endpoint up soon after the process was held up', async t => {
  const running = await twoRuns();
  const { world, streams } = running;
  await world.clock.blockEventLoop(1000, () => streams.arrive(22, 'e2'));
  for (let passedMs = 0; passedMs < 100; passedMs += EVENT_MS) {
    await world.clock.advance(EVENT_MS);
    streams.arrive(1, 'e2');
  }
  await world.clock.advance(10);
  t.equal(streams.begun, 3, 'in 150 ms');
  world.stop();
});

await tap.test('should give a silent endpoint up while the process is held up again and again', async t => {
  const { world, streams } = await twoRuns();
  let heldMs = 0;
  for (; heldMs < 5000 && streams.begun === 2; heldMs += 200)
    await world.clock.blockEventLoop(200, () => streams.arrive(4, 'e2'));
  t.ok(heldMs <= 1200, `given up after ${heldMs} ms`);
  world.stop();
});

await tap.test('should read between the starts of the items of a large batch', async t => {
  // Symptom: a host with a third of a core reads nothing for half a second after it took a batch; its lease and the calls
  // that it answers wait. Sequence: a batch of 144 items begins. Cause: all its runs begin in one turn of the loop.
  const world = new GatewayWorld();
  world.store.put(`${keys.endpointPrefix}e1`, endpointRecord({ slots: 200 }));
  const streams = new Streams();
  let inTurn = 0;
  let mostInTurn = 0;
  world.client.runItem = (...args) => {
    if (inTurn === 0)
      setImmediate(() => {
        inTurn = 0;
      });
    inTurn += 1;
    mostInTurn = Math.max(mostInTurn, inTurn);
    return streams.run(...args);
  };
  const host = world.start('a');
  await world.clock.advance(200);
  const items = Array.from({ length: 144 }, (_, i) => item(`x${i}`));
  await world.until(host.batches.submit(batch('b1', items), Deadline.after(world.clock, 1000)));
  // A turn of the loop each.
  for (let turn = 0; turn < 10; turn++) await world.clock.advance(1);
  t.equal(streams.begun, 144, 'at once, all the same');
  t.ok(mostInTurn <= 16, `${mostInTurn} in one turn`);
  world.stop();
});

await tap.test('should tell how late the loop ran in the last seconds', async t => {
  const world = new GatewayWorld();
  const { eventLoop: loop } = world.start('a').context;
  await world.clock.advance(1000);
  t.equal(loop.recentLagMs(), 0);
  const beforeMs = world.clock.nowMs();
  t.ok(loop.isOnTimeSince(beforeMs));
  await world.clock.blockEventLoop(1000, () => t.notOk(loop.isOnTimeSince(beforeMs), 'while it reads late'));
  t.ok(loop.recentLagMs() >= 950, 'a tick is due each 50 ms');
  await world.clock.advance(100);
  t.notOk(loop.isOnTimeSince(beforeMs));
  t.ok(loop.isOnTimeSince(world.clock.nowMs()));
  await world.clock.advance(2000);
  t.ok(loop.recentLagMs() >= 950);
  await world.clock.advance(4000);
  t.equal(loop.recentLagMs(), 0);
  world.stop();
});

/** How long a call may take: far longer than a local answer on a busy machine. */
const ANSWER_MS = 600;
/** The process is held up until after that. */
const LATE_MS = 800;

/** The process gets no processor time: nothing in it runs. */
function blockLoop(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

await tap.test('should take an answer that arrived while the process was held up', async t => {
  // Symptom: writes that the store has done count as unknown, are repeated, and the lease of their host ends. Sequence:
  // a call's answer arrives; the process is held up until the call's time is over. Cause: the time-out comes before the
  // reading.
  const server = new WireServer();
  const address = await server.listen();
  server.answer = (request, socket) => {
    const isReport = request.target === '/v1/report';
    const answer = isReport ? { models: [], busy: false, seq: 4 } : { key: 'k', value: 'djE=', revision: 3 };
    socket.write(genuine(request, JSON.stringify(answer)));
    blockLoop(LATE_MS);
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
  const report = await new PlatformEndpoints().report(endpoint, ANSWER_MS);
  t.match(report, { sequence: 4 });
  await server.close();
});
