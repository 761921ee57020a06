/**
 * Endpoints that restart under their identifier, and unreadable endpoint records.
 */
import fc from 'fast-check';
import tap from 'tap';
import { Deadline, VirtualClock } from '@fuchsiahitch/base';
import { EndpointDirectory, serveVersions, type CallRegistry, type Endpoint } from '@fuchsiahitch/gateway';
import { SwapPlanner } from '@fuchsiahitch/orders';
import { PlatformRecordDecoder } from '@fuchsiahitch/platform';
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
  const droppedAddresses: string[] = [];
  const endpoints = new EndpointDirectory(context, store.client(), keys, new JsonRecordDecoder(), address => {
    droppedAddresses.push(address);
  });
  store.put(E1, endpointRecord({ startWallMs: 1000 }, 5));
  endpoints.start();
  await clock.advance(3000);
  return { clock, store, log: context.log, droppedAddresses, endpoints, stop: context.stop };
}

function ejectByFailures(endpoint: Endpoint): void {
  for (let i = 0; i < 8; i++) {
    endpoint.stats.began(true);
    endpoint.stats.ended(true, true);
  }
}

await tap.test('should not apply the state of a previous instance to a restarted endpoint', async t => {
  // Guards against a healthy endpoint that gets no items, or items of a version that it does not have.
  const { clock, store, endpoints, droppedAddresses, stop } = await directory();
  const previous = endpoints.get('e1');
  if (!previous) return;
  ejectByFailures(previous);
  previous.recordVersion('m', 9);
  previous.loadBegan('m', 10);
  previous.recordEventInterval(400);
  previous.markLeaving();
  store.put(E1, endpointRecord({ startWallMs: 2000 }, 5));
  await clock.advance(100);
  const next = endpoints.get('e1');
  t.not(next, previous);
  t.same([next?.versionOf('m'), next?.isLoading(), next?.paceMs()], [5, false, undefined]);
  t.equal(next?.freeSlots(), 4);
  t.notOk(next?.isLeaving);
  t.ok(previous.replaced.aborted && previous.isLeaving);
  t.same(droppedAddresses, ['10.0.0.1:1'], 'its connections are not reused');
  store.put(E1, endpointRecord({ startWallMs: 2000 }, 6));
  await clock.advance(100);
  t.equal(endpoints.get('e1'), next, 'a heartbeat does not replace the instance');
  stop.abort();
});

await tap.test('should ignore late records of an earlier instance', async t => {
  // Guards against taking a running endpoint for a leaving one, because the last record to arrive counts as the newest.
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
  t.equal(endpoints.get('e1'), undefined, 'also after the endpoint was removed');
  store.put(E1, endpointRecord({ startWallMs: 3000 }, 5));
  store.put(E1, endpointRecord({ startWallMs: 4000 }, 5));
  await clock.advance(100);
  t.equal(endpoints.get('e1')?.info().startWallMs, 4000, 'two restarts within a heartbeat');
  stop.abort();
});

await tap.test('should accept a restart that the endpoint itself reports', async t => {
  // An endpoint that restarts while disconnected from the store cannot update its record there.
  const { endpoints, stop } = await directory();
  endpoints.recordRestart('e1', 500, new Map([['m', 9]]));
  t.equal(endpoints.get('e1')?.versionOf('m'), 5, 'an earlier instance');
  endpoints.recordRestart('e1', 2000, new Map([['m', 3]]));
  t.equal(endpoints.get('e1')?.versionOf('m'), 3);
  endpoints.recordRestart('e9', 2000, new Map());
  t.equal(endpoints.get('e9'), undefined, 'an unknown endpoint');
  stop.abort();
});

await tap.test('should not take a report for a restart if the record names no start', async t => {
  // Guards against a leaving endpoint that is used again because its own report names a start time and its record none.
  const { clock, store, endpoints, stop } = await directory();
  store.put(`${keys.endpointPrefix}e2`, endpointRecord({ startWallMs: 0, isLeaving: true }));
  await clock.advance(1500);
  endpoints.recordRestart('e2', 1_700_000_000_000, new Map());
  t.ok(endpoints.get('e2')?.isLeaving);
  stop.abort();
});

await tap.test('should apply versions reported by hosts only to the instance that they name', async t => {
  const { endpoints, stop } = await directory();
  const handlers = new Map<string, (update: never) => unknown>();
  const registry: CallRegistry = {
    handle: (call, handler) => {
      handlers.set(call.name, handler as unknown as (update: never) => unknown);
    },
  };
  serveVersions(registry, endpoints);
  const report = (startWallMs: number, version: number): void => {
    const update = { endpointId: 'e1', startWallMs, model: 'm', version };
    handlers.get(calls.versionSeen.name)?.(update as never);
  };
  report(900, 8);
  t.equal(endpoints.get('e1')?.versionOf('m'), 5);
  report(1000, 7);
  t.equal(endpoints.get('e1')?.versionOf('m'), 7);
  stop.abort();
});

await tap.test('should plan a weight load again after a restart', async t => {
  // Guards against old weights for seconds, because a load lost in the restart counts as under way.
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

await tap.test('should resume items of a restarted endpoint elsewhere without delay', async t => {
  // Guards against waiting for the idle timeout of a run that no longer exists.
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

await tap.test('should not interrupt items that already run on the new instance', async t => {
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

await tap.test('should reject invalid endpoint records', t => {
  // Guards against filling in missing fields, and against one invalid record affecting all endpoints.
  const records = new PlatformRecordDecoder();
  t.ok(records.endpoint('i', JSON.stringify(VALID_RECORD)));
  t.ok(records.endpoint('i', JSON.stringify({ ...VALID_RECORD, other: [1] })), 'an unknown field');
  for (const field of ['service', 'address', 'zone', 'version', 'slots', 'state', 'cold_left_ms', 'seq'])
    t.equal(records.endpoint('i', JSON.stringify({ ...VALID_RECORD, [field]: undefined })), undefined, field);
  const invalidFields = {
    state: 'resting',
    slots: '4',
    address: 'nowhere',
    born: '1787021061968',
    models: {},
    zone: 7,
  };
  for (const [field, value] of Object.entries(invalidFields))
    t.equal(records.endpoint('i', JSON.stringify({ ...VALID_RECORD, [field]: value })), undefined, field);
  t.equal(records.endpoint('i', JSON.stringify({ ...VALID_RECORD, born: 1.5 })), undefined);
  t.equal(records.endpoint('i', '\ufffd\u0000{'), undefined);
  t.end();
});

await tap.test('should parse any record without throwing', t => {
  const records = new PlatformRecordDecoder();
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

await tap.test('should remove only the endpoint whose record becomes unreadable', async t => {
  const { clock, store, endpoints, log, stop } = await directory();
  store.put(`${keys.endpointPrefix}e2`, endpointRecord());
  await clock.advance(100);
  store.put(E1, JSON.stringify('spoiled'));
  await clock.advance(5000);
  t.equal(endpoints.get('e1'), undefined);
  t.ok(endpoints.get('e2'));
  const warnings = log.lines.filter(line => line.text === 'unreadable endpoint record');
  t.equal(warnings.length, 1, 'one warning per revision');
  store.put(E1, endpointRecord({ startWallMs: 1000 }));
  await clock.advance(100);
  t.ok(endpoints.get('e1'), 'restored by its next valid record');
  stop.abort();
});
