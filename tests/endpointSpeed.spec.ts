/**
 * Speed of endpoints: reported percentages, estimated paces, reserved slots, and the choice for customer requests.
 */
import tap from 'tap';
import { SeededRandom, VirtualClock } from '@fuchsiahitch/base';
import { BaselineSpeed, knownPaces } from '@fuchsiahitch/batches';
import { Endpoint, type EndpointInfo, type EndpointLoad } from '@fuchsiahitch/gateway';
import { PlatformEndpointClient } from '@fuchsiahitch/platform';
import {
  ConcurrencyLimit,
  EndpointPicker,
  EndpointStats,
  type EndpointView,
  type PickRequest,
} from '@fuchsiahitch/requests';
import { ALWAYS_WRITES } from './gatewayFixtures.js';
import { validResponse, WireServer } from './platformStandIns.js';

const INFO: EndpointInfo = {
  id: 'e1',
  startWallMs: 0,
  address: '10.0.0.1:1',
  pool: 'gen-pool',
  domain: 'tekapo',
  slots: 2,
  isLeaving: false,
  versions: new Map([['m', 1]]),
};

await tap.test('should read the percentage of the load header, and ignore a malformed one', async t => {
  // Fails if a percentage that is not a positive number is taken for a speed, or hides the other values.
  const server = new WireServer();
  const endpoint = { ...INFO, address: await server.listen() };
  const client = new PlatformEndpointClient();
  const loadFor = async (header: string): Promise<EndpointLoad | undefined> => {
    server.answer = (request, socket) =>
      void socket.write(validResponse(request, '', '200 OK', [`Server-Load: ${header}`]));
    const call = {
      guard: ALWAYS_WRITES,
      endpoint,
      accountName: undefined,
      method: 'POST',
      target: '/',
      headers: [],
      body: undefined,
      leftMs: 1000,
    };
    const reply = await client.send(call, new AbortController().signal);
    if (reply.kind !== 'answered') throw new Error(reply.kind);
    for await (const chunk of reply.answer.body) t.equal(chunk.length, 0);
    return reply.answer.load;
  };
  t.strictSame(await loadFor('4,2,8,55'), { running: 4, waiting: 2, workPercent: 55 });
  t.strictSame(await loadFor('4, 2, 8, 137.5'), { running: 4, waiting: 2, workPercent: 137.5 });
  for (const header of ['4,2,8', '4,2', '4,2,8,', '4,2,8,x', '4,2,8,0', '4,2,8,-5', '4,2,8,Infinity'])
    t.strictSame(await loadFor(header), { running: 4, waiting: 2 }, header);
  t.equal(await loadFor('x,2,8,55'), undefined);
  await server.close();
});

await tap.test('should learn the load of an endpoint that refuses an item', async t => {
  // Fails if a host takes the slots that other hosts use for free ones, and aborts attempts to move their items there.
  const server = new WireServer();
  server.answer = (request, socket) =>
    void socket.write(
      validResponse(request, '', '503 Service Unavailable', ['Not-Executed: 1', 'Server-Load: 8,1,8,55']),
    );
  const endpoint = { ...INFO, address: await server.listen() };
  const call = {
    guard: ALWAYS_WRITES,
    endpoint,
    itemId: 'x',
    accountName: undefined,
    host: 'quests',
    target: '/run/x',
    headers: {},
    body: Buffer.from('x'),
    afterEvent: 0,
    leftMs: 1000,
  };
  const listener = { began: () => true, event: () => true };
  const end = await new PlatformEndpointClient().runItem(call, listener, new AbortController().signal);
  t.strictSame(end, {
    kind: 'not-run',
    reason: 'refused',
    load: { running: 8, waiting: 1, workPercent: 55 },
  });
  await server.close();
});

await tap.test('should take the lowest percentage of the last 10 s for the baseline speed', t => {
  // Fails if a machine that is busy at the moment of a report is taken for a slow one.
  const baseline = new BaselineSpeed();
  t.equal(baseline.percent(0), undefined);
  baseline.add(137, 0);
  baseline.add(55, 100);
  baseline.add(300, 5000);
  t.equal(baseline.percent(9900), 55);
  t.equal(baseline.percent(10_000), 300, 'the low figure is old');
  t.equal(baseline.percent(15_000), undefined);
  t.end();
});

await tap.test('should estimate unknown paces in proportion to the baselines', t => {
  // Fails if endpoints without a measured pace are taken for fast ones, or one busy endpoint distorts all estimates.
  const paces = knownPaces([
    { id: 'a', paceMs: 56, baselinePercent: 120 },
    { id: 'b', paceMs: 58, baselinePercent: 120 },
    { id: 'busy', paceMs: 140, baselinePercent: 120 },
    { id: 'fast', paceMs: undefined, baselinePercent: 55 },
    { id: 'silent', paceMs: undefined, baselinePercent: undefined },
    { id: 'measured', paceMs: 33, baselinePercent: undefined },
  ]);
  t.equal(paces.get('busy'), 140, 'a measured pace takes precedence');
  t.equal(paces.get('measured'), 33);
  t.equal(Math.round(paces.get('fast') ?? 0), 27);
  t.notOk(paces.has('silent'));
  t.equal(knownPaces([{ id: 'a', paceMs: undefined, baselinePercent: 55 }]).size, 0, 'nothing is measured');
  t.end();
});

await tap.test('should keep reserved slots for their items for at most 2 s', async t => {
  // Fails if another batch of the host takes the slot that justified a move, or an unused reservation never ends.
  const clock = new VirtualClock();
  const endpoint = new Endpoint(INFO, clock);
  const first = endpoint.reserveSlot(2000);
  t.equal(endpoint.freeSlots(), 1);
  await clock.advance(1000);
  const second = endpoint.reserveSlot(2000);
  t.equal(endpoint.freeSlots(), 0);
  t.equal(endpoint.reserveSlot(2000), undefined, 'all slots are reserved');
  t.ok(endpoint.hasOpenSlot(), 'for the items that have reserved them');
  await clock.advance(1000);
  t.notOk(first?.isValid());
  t.ok(second?.isValid());
  t.equal(endpoint.freeSlots(), 1);
  second?.release();
  first?.release();
  t.equal(endpoint.freeSlots(), 2);
  endpoint.markLeaving();
  t.equal(endpoint.reserveSlot(2000), undefined);
});

interface View extends EndpointView {
  readonly report: (inFlight: number, workPercent?: number, startId?: string) => void;
}

function view(clock: VirtualClock, id: string): View {
  const stats = new EndpointStats(clock);
  return {
    id,
    domain: 'tekapo',
    pool: 'p',
    isLeaving: false,
    version: '',
    stats,
    limit: new ConcurrencyLimit(8, 1),
    report: (inFlight, workPercent, startId = 's') =>
      stats.onLoadReport({ inFlight, queued: 0, version: '', startId, isLeaving: false, workPercent }),
  };
}

const PICK: PickRequest = {
  pool: 'p',
  ownDomain: 'tekapo',
  domains: [],
  isRollout: false,
  reserve: 0,
  prefix: '',
  version: '',
  tried: new Set(),
};

function picksOf(views: readonly View[], request = PICK, seed = 1): readonly (string | undefined)[] {
  const picker = new EndpointPicker(new SeededRandom(seed));
  return Array.from({ length: 40 }, () => picker.pick(views, request)?.id);
}

await tap.test('should send customer requests where they take the least time', async t => {
  // Fails if requests wait behind the other processes of a busy machine, or an old percentage counts.
  const clock = new VirtualClock();
  const views = ['fast', 'slow', 'busy'].map(id => view(clock, id));
  const [fast, slow, busy] = views;
  fast?.report(1, 55);
  slow?.report(0, 120);
  busy?.report(0, 300);
  t.same(new Set(picksOf(views)), new Set(['fast']), '2 x 55 % < 1 x 120 %');
  fast?.report(2, 55);
  t.same(new Set(picksOf(views)), new Set(['slow']));
  await clock.advance(299);
  t.same(new Set(picksOf(views)), new Set(['slow']));
  await clock.advance(1);
  t.same(new Set(picksOf(views)), new Set(['slow', 'busy']), 'old percentages: the least loaded, at random');
  t.equal(picksOf(views, { ...PICK, isRollout: true }).includes('fast'), true, 'rollouts as before');
});

await tap.test('should pick exactly as before where no percentage is reported', t => {
  // Fails if deployments whose endpoints report no percentage are served differently.
  const clock = new VirtualClock();
  const views = Array.from({ length: 6 }, (_, i) => view(clock, `e${i}`));
  for (const [i, one] of views.entries()) one.report(i % 4);
  const random = new SeededRandom(9);
  const expected = Array.from({ length: 40 }, () => {
    const [first, second] = [views[random.below(6)], views[random.below(6)]];
    return (second?.stats.estimatedLoad() ?? 0) < (first?.stats.estimatedLoad() ?? 0)
      ? second?.id
      : first?.id;
  });
  t.same(picksOf(views, PICK, 9), expected);
  views[0]?.report(0, 55);
  t.notSame(picksOf(views, PICK, 9), expected);
  views[0]?.report(0, undefined, 'restarted');
  t.same(picksOf(views, PICK, 9), expected, 'a restarted endpoint no longer reports it');
  t.end();
});
