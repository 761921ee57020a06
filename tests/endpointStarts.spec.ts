/**
 * Endpoints that start again under their identifier, and records that name none.
 */
import fc from 'fast-check';
import tap from 'tap';
import { Deadline, VirtualClock } from '@fuchsiahitch/base';
import { EndpointDirectory, serveVersions, type CallRegistry, type Endpoint } from '@fuchsiahitch/gateway';
import { SwapPlanner } from '@fuchsiahitch/orders';
import { PlatformRecords } from '@fuchsiahitch/platform';
import { calls } from '@fuchsiahitch/protocol';
import { FakeStore } from './fakeStore.js';
import { fuzzRuns } from './fuzzRuns.js';
import { GatewayWorld } from './gatewayHosts.js';
import {
  batch,
  endpointRecord,
  item,
  keys,
  JsonRecordDecoder,
  testContext,
  type TestLog,
} from './gatewayFixtures.js';

const E1 = `${keys.endpointPrefix}e1`;

interface Directory {
  readonly clock: VirtualClock;
  readonly store: FakeStore;
  readonly log: TestLog;
  readonly droppedAddresses: string[];
  readonly endpoints: EndpointDirectory;
  readonly stop: AbortController;
}

async function directory(): Promise<Directory> {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const context = testContext(clock);
  const forgotten: string[] = [];
  const endpoints = new EndpointDirectory(context, store.client(), keys, new JsonRecordDecoder(), address => {
    forgotten.push(address);
  });
  store.put(E1, endpointRecord({ startWallMs: 1000 }, 5));
  endpoints.start();
  await clock.advance(3000);
  return { clock, store, log: context.log, droppedAddresses: forgotten, endpoints, stop: context.stop };
}

function ejectByFailures(endpoint: Endpoint): void {
  for (let i = 0; i < 8; i++) {
    endpoint.stats.began(true);
    endpoint.stats.ended(true, true);
  }
}

await tap.test('should believe nothing of a former start', async t => {
  // Symptom: an endpoint that is well gets no items, or items of a version that it has not. Sequence: it fails, leaves, or
  // is known with new weights; it crashes and starts again under its identifier. Cause: identity taken from the identifier
  // alone.
  const { clock, store, endpoints, droppedAddresses: forgotten, stop } = await directory();
  const former = endpoints.get('e1');
  if (!former) return;
  ejectByFailures(former);
  former.recordVersion('m', 9);
  former.loadBegan('m', 10);
  former.recordEventInterval(400);
  former.markLeaving();
  store.put(E1, endpointRecord({ startWallMs: 2000 }, 5));
  await clock.advance(100);
  const next = endpoints.get('e1');
  t.not(next, former);
  t.same([next?.versionOf('m'), next?.isLoading(), next?.paceMs()], [5, false, undefined]);
  t.equal(next?.freeSlots(), 4);
  t.notOk(next?.isLeaving);
  t.ok(former.replaced.aborted && former.isLeaving);
  t.same(forgotten, ['10.0.0.1:1'], 'its connections are not used again');
  store.put(E1, endpointRecord({ startWallMs: 2000 }, 6));
  await clock.advance(100);
  t.equal(endpoints.get('e1'), next, 'the same start goes on');
  stop.abort();
});

await tap.test('should not go back to a former start, whenever its record arrives', async t => {
  // Symptom: an endpoint that runs is taken for one that leaves. Sequence: the former start's last record is written, or
  // read, after the later start's. Cause: the record that came last taken for the newest.
  const { clock, store, endpoints, stop } = await directory();
  store.put(E1, endpointRecord({ startWallMs: 2000 }, 5));
  await clock.advance(100);
  const later = endpoints.get('e1');
  store.put(E1, endpointRecord({ startWallMs: 1000, isLeaving: true }, 9));
  await clock.advance(100);
  t.equal(endpoints.get('e1'), later);
  t.notOk(later?.isLeaving);
  t.equal(later?.versionOf('m'), 5);
  store.remove(E1);
  await clock.advance(3000);
  t.equal(endpoints.get('e1'), undefined);
  store.put(E1, endpointRecord({ startWallMs: 1000 }, 9));
  await clock.advance(100);
  t.equal(endpoints.get('e1'), undefined, 'nor after it is gone');
  store.put(E1, endpointRecord({ startWallMs: 3000 }, 5));
  store.put(E1, endpointRecord({ startWallMs: 4000 }, 5));
  await clock.advance(100);
  t.equal(endpoints.get('e1')?.info().startWallMs, 4000, 'twice within a heartbeat');
  stop.abort();
});

await tap.test('should take an endpoint’s own word that it has started again', async t => {
  // Symptom: an endpoint whose way to the store is cut is ordered by the count of a start that is gone. Sequence: it
  // crashes behind the cut and starts again; its record stays as it was. Cause: only the store asked.
  const { endpoints, stop } = await directory();
  endpoints.recordRestart('e1', 500, new Map([['m', 9]]));
  t.equal(endpoints.get('e1')?.versionOf('m'), 5, 'an older start');
  endpoints.recordRestart('e1', 2000, new Map([['m', 3]]));
  t.equal(endpoints.get('e1')?.versionOf('m'), 3);
  endpoints.recordRestart('e9', 2000, new Map());
  t.equal(endpoints.get('e9'), undefined, 'one that is not known');
  stop.abort();
});

await tap.test('should take news of hosts for the start that they name', async t => {
  const { endpoints, stop } = await directory();
  const handlers = new Map<string, (news: never) => unknown>();
  const registry: CallRegistry = {
    handle: (call, handler) => {
      handlers.set(call.name, handler as unknown as (news: never) => unknown);
    },
  };
  serveVersions(registry, endpoints);
  const tell = (startWallMs: number, version: number): void => {
    const news = { endpointId: 'e1', startWallMs, model: 'm', version };
    handlers.get(calls.versionSeen.name)?.(news as never);
  };
  tell(900, 8);
  t.equal(endpoints.get('e1')?.versionOf('m'), 5);
  tell(1000, 7);
  t.equal(endpoints.get('e1')?.versionOf('m'), 7);
  stop.abort();
});

await tap.test('should plan loads of a new start anew', async t => {
  // Symptom: an endpoint keeps old weights for seconds. Sequence: it restarts while it loads. Cause: the load that died
  // with the former start counts as under way.
  const clock = new VirtualClock();
  const planner = new SwapPlanner(clock, {
    maxSwappingShare: 1,
    loadsPerSecond: 1000,
    swapTimeoutMs: 4000,
    maxTries: 8,
  });
  planner.setTarget({ pool: 'p', version: 2, sequence: 2, share: 1 });
  planner.readBack('e1', { version: 1, startId: 'e1@1' });
  t.equal(planner.next([{ id: 'e1', isUsable: true }], 1).length, 1);
  t.equal(planner.next([{ id: 'e1', isUsable: true }], 1).length, 0, 'it loads');
  await clock.advance(100);
  planner.readBack('e1', { version: 1, startId: 'e1@2' });
  t.equal(planner.next([{ id: 'e1', isUsable: true }], 1).length, 1);
  t.end();
});

await tap.test('should go on elsewhere at once with items of an endpoint that has restarted', async t => {
  // Symptom: items wait 1.2 s for an endpoint that lost its power. Sequence: it falls silent, starts again under its
  // identifier, and its record says so. Cause: a run awaited that no longer exists.
  const world = new GatewayWorld();
  const host = world.start('a');
  await world.clock.advance(200);
  world.client.script = call =>
    call.afterEvent === 0 ? { events: 3, end: { kind: 'cancelled' } } : { events: 2, end: { kind: 'done' } };
  const given = batch('b1', [item('x')]);
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
  await world.clock.advance(300);
  const [first] = world.client.items;
  const id = first?.endpoint.id ?? '';
  const startWallMs = world.clock.wallMs() - 100;
  world.store.put(`${keys.endpointPrefix}${id}`, endpointRecord({ startWallMs }));
  await world.clock.advance(300);
  const page = await world.until(host.batches.read('b1', 0, 500));
  t.ok(page.kind === 'page' && page.page.results[0]?.text === 'x-1\nx-2\nx-3\nx-4\nx-5');
  world.stop();
});

await tap.test('should leave runs to a new start that are seen to live there', async t => {
  const world = new GatewayWorld();
  const host = world.start('a');
  await world.clock.advance(200);
  world.client.script = () => ({ events: 30, end: { kind: 'done' }, eventMs: 20 });
  const given = batch('b1', [item('x')]);
  await world.until(host.batches.submit(given, Deadline.after(world.clock, 1000)));
  await world.clock.advance(200);
  const id = world.client.items[0]?.endpoint.id ?? '';
  const startWallMs = world.clock.wallMs() - 5000;
  world.store.put(`${keys.endpointPrefix}${id}`, endpointRecord({ startWallMs }));
  await world.clock.advance(800);
  t.equal(world.client.items.length, 1);
  world.stop();
});

const VALID_RECORD = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  version: 'v1',
  slots: 4,
  state: 'ready',
  cold_left_ms: 0,
  seq: 1,
  born: 1_787_021_061_968,
  models: [{ name: 'm', version: 2 }],
};

await tap.test('should read no endpoint from a record of another writer', t => {
  // Symptom: requests go to an endpoint in a state that nobody knows, or every endpoint is lost. Sequence: something else
  // writes a record beside the endpoints'. Cause: missing fields filled in; one odd record spoils the whole reading.
  const records = new PlatformRecords();
  t.ok(records.endpoint('i', JSON.stringify(VALID_RECORD)));
  t.ok(records.endpoint('i', JSON.stringify({ ...VALID_RECORD, other: [1] })), 'a field that is not known');
  for (const field of ['service', 'address', 'zone', 'version', 'slots', 'state', 'cold_left_ms', 'seq'])
    t.equal(records.endpoint('i', JSON.stringify({ ...VALID_RECORD, [field]: undefined })), undefined, field);
  const odd = {
    state: 'resting',
    slots: '4',
    address: 'nowhere',
    born: '1787021061968',
    models: {},
    zone: 7,
  };
  for (const [field, value] of Object.entries(odd))
    t.equal(records.endpoint('i', JSON.stringify({ ...VALID_RECORD, [field]: value })), undefined, field);
  t.equal(records.endpoint('i', JSON.stringify({ ...VALID_RECORD, born: 1.5 })), undefined);
  t.equal(records.endpoint('i', '\ufffd\u0000{'), undefined);
  t.end();
});

await tap.test('should read any record without failing', t => {
  const records = new PlatformRecords();
  const field = fc.constantFrom(...Object.keys(VALID_RECORD));
  fc.assert(
    fc.property(fc.dictionary(field, fc.jsonValue()), fc.string(), (fields, text) => {
      for (const value of [JSON.stringify({ ...VALID_RECORD, ...fields }), text]) {
        const info = records.endpoint('i', value);
        if (!info) continue;
        if (typeof info.startWallMs !== 'number' || info.slots < 1) return false;
      }
      return true;
    }),
    fuzzRuns(500),
  );
  t.end();
});

await tap.test('should drop an endpoint whose record names none any more, and keep the others', async t => {
  const { clock, store, endpoints, log, stop } = await directory();
  store.put(`${keys.endpointPrefix}e2`, endpointRecord());
  await clock.advance(100);
  store.put(E1, JSON.stringify('spoiled'));
  await clock.advance(5000);
  t.equal(endpoints.get('e1'), undefined);
  t.ok(endpoints.get('e2'));
  const told = log.lines.filter(line => line.text === 'unreadable endpoint record');
  t.equal(told.length, 1, 'once for a revision');
  store.put(E1, endpointRecord({ startWallMs: 1000 }));
  await clock.advance(100);
  t.ok(endpoints.get('e1'), 'its own next record brings it back');
  stop.abort();
});
