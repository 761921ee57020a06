/**
 * Homes that fail while they accept a batch: killed, frozen, restarted or unreachable, and lost requests and replies.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { BATCH, read, submit } from './batchCalls.js';
import { batch, item, keys } from './gatewayFixtures.js';
import type { GatewayHost } from './gatewayHosts.js';
import { claimOwner, never, startScarceHosts, submitAt } from './homeHostCalls.js';

type SubmitHandler = (request: never) => unknown;

/** Replaces the home's handler. `run` executes the call. */
function interceptSubmit(home: GatewayHost, handle: (run: () => Promise<unknown>) => unknown): void {
  const handler = home.handlers.get('batchSubmit') as SubmitHandler;
  home.handlers.set('batchSubmit', (request: never) => handle(() => Promise.resolve(handler(request))));
}

function itemRuns(host: Awaited<ReturnType<typeof startScarceHosts>>): readonly string[] {
  return host.world.client.items.map(({ itemId }) => itemId).sort();
}

await tap.test('should accept the batch itself if the request to the home is lost', async t => {
  const given = await startScarceHosts('a', 'b', 'c');
  const { world, accepting, home, next } = given;
  home.handlers.set('batchSubmit', () => never());
  next.handlers.set('batchSubmit', () => t.fail('another host was asked after an unknown outcome'));
  const startMs = world.clock.nowMs();
  t.equal(await submit(world, accepting, 6000), 'accepted');
  const tookMs = world.clock.nowMs() - startMs;
  t.ok(tookMs >= 690 && tookMs <= 760, `${tookMs} ms`);
  t.equal(claimOwner(world, 'b1'), accepting.context.hostId);
  await world.clock.advance(1000);
  t.same(itemRuns(given), ['x', 'y', 'z'], 'each item ran once');
  world.stop();
});

await tap.test('should find that the home owns the batch if its reply is lost', async t => {
  // Fails if the accepting host runs a batch that the home has accepted: each item then runs twice.
  const given = await startScarceHosts('a', 'b', 'c');
  const { world, accepting, home } = given;
  interceptSubmit(home, async run => {
    await run();
    return never();
  });
  t.equal(await submit(world, accepting, 6000), 'accepted');
  t.equal(claimOwner(world, 'b1'), home.context.hostId);
  t.same([accepting.batches.ownedCount(), home.batches.ownedCount()], [0, 1]);
  await world.clock.advance(1000);
  t.same(itemRuns(given), ['x', 'y', 'z'], 'each item ran once');
  const page = await read(world, accepting);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  world.stop();
});

await tap.test('should keep the batch if a frozen home executes the call late', async t => {
  const given = await startScarceHosts('a', 'b', 'c');
  const { world, accepting, home } = given;
  const late: Promise<unknown>[] = [];
  interceptSubmit(home, run => {
    world.clock.after(2500, () => late.push(run()));
    return never();
  });
  t.equal(await submit(world, accepting, 6000), 'accepted');
  await world.clock.advance(4000);
  t.same(await Promise.all(late), [{ kind: 'accepted' }], 'the home learns that the batch is accepted');
  t.equal(claimOwner(world, 'b1'), accepting.context.hostId);
  t.equal(home.batches.ownedCount(), 0);
  t.same(itemRuns(given), ['x', 'y', 'z'], 'each item ran once');
  world.stop();
});

for (const mode of ['refusing', 'silent'] as const) {
  await tap.test(
    `should not answer “not run” while the home may still write (own store ${mode})`,
    async t => {
      // Fails if the refusal of the own write hides that the home's write is pending: the trainer then submits the same
      // items in another batch, and they run twice.
      const given = await startScarceHosts('a', 'b', 'c');
      const { world, accepting, home } = given;
      interceptSubmit(home, run => {
        world.clock.after(3000, () => void run());
        return never();
      });
      accepting.storeClient.mode = mode;
      t.equal(await submit(world, accepting, 2000), 'unknown');
      await world.clock.advance(3000);
      t.equal(claimOwner(world, 'b1'), home.context.hostId);
      t.same(itemRuns(given), ['x', 'y', 'z']);
      accepting.storeClient.mode = 'available';
      t.equal(await submit(world, accepting), 'accepted', 'the repeated submission');
      t.same(itemRuns(given), ['x', 'y', 'z'], 'each item ran once');
      world.stop();
    },
  );
}

await tap.test(
  'should accept the batch itself if the home does not know whether its write succeeded',
  async t => {
    // The home's write is executed after the accepting host's.
    const given = await startScarceHosts('a', 'b', 'c');
    const { world, accepting, home } = given;
    world.store.delayNextWriteMs = 1500;
    t.equal(await submit(world, accepting, 6000), 'accepted');
    await world.clock.advance(3000);
    t.equal(accepting.batches.ownedCount() + home.batches.ownedCount(), 1);
    t.same(itemRuns(given), ['x', 'y', 'z'], 'each item ran once');
    world.stop();
  },
);

await tap.test('should not take a failure of the home after its write for a refusal', async t => {
  // Fails if an error thrown during acceptance reaches the caller as a refused call, which counts as “not written”.
  const { world, accepting, home } = await startScarceHosts('a', 'b', 'c');
  const { storeClient } = home;
  const transact = storeClient.transact.bind(storeClient);
  storeClient.transact = async (...args) => {
    await transact(...args);
    throw new Error('after the write');
  };
  accepting.storeClient.mode = 'refusing';
  t.equal(await submit(world, accepting, 2000), 'unknown');
  t.equal(claimOwner(world, 'b1'), home.context.hostId);
  world.stop();
});

await tap.test('should answer “not run” if all hosts decline and the store is out of reach', async t => {
  const given = await startScarceHosts('a', 'b', 'c');
  const { world, accepting, home, next } = given;
  for (const host of [home, next]) host.isRelaying = true;
  accepting.storeClient.mode = 'refusing';
  t.equal(await submit(world, accepting), 'not-run');
  for (const host of [accepting, home, next]) host.storeClient.mode = 'available';
  await world.clock.advance(10_000);
  t.equal(claimOwner(world, 'b1'), undefined);
  t.same(world.store.keys('fuchsiahitch/batch/'), []);
  t.same(itemRuns(given), []);
  world.stop();
});

await tap.test('should write the batch itself if the home cannot reach the store', async t => {
  const given = await startScarceHosts('a', 'b', 'c');
  const { world, accepting, home } = given;
  home.storeClient.mode = 'refusing';
  t.equal(await submit(world, accepting, 6000), 'accepted');
  t.equal(claimOwner(world, 'b1'), accepting.context.hostId);
  await world.clock.advance(1000);
  t.same(itemRuns(given), ['x', 'y', 'z']);
  world.stop();
});

await tap.test('should run a batch whose home was killed between its accept and its first send', async t => {
  const given = await startScarceHosts('a', 'b', 'c');
  const { world, accepting, home } = given;
  interceptSubmit(home, async run => {
    // The start of the batch waits for the store, so the home is killed before it sends an item.
    home.storeClient.callDelayMs = 20;
    const reply = await run();
    home.kill();
    return reply;
  });
  t.equal(await submit(world, accepting, 6000), 'accepted');
  t.equal(claimOwner(world, 'b1'), home.context.hostId);
  t.same(itemRuns(given), [], 'nothing was sent');
  world.expireLease(home.context.hostId);
  await read(world, accepting, 0, 5000);
  await world.clock.advance(1000);
  t.equal(claimOwner(world, 'b1'), accepting.context.hostId);
  t.same(itemRuns(given), ['x', 'y', 'z'], 'each item ran once');
  world.stop();
});

await tap.test('should run a batch whose home was restarted under the same name', async t => {
  // Fails if the new process is taken for the owner that accepted the batch.
  const given = await startScarceHosts('a', 'b', 'c');
  const { world, accepting, home } = given;
  const homeId = home.context.hostId;
  interceptSubmit(home, async run => {
    home.storeClient.callDelayMs = 20;
    await run();
    home.kill();
    world.start(homeId, '2');
    return never();
  });
  t.equal(await submit(world, accepting, 6000), 'accepted');
  await world.clock.advance(300);
  await read(world, accepting, 0, 5000);
  await world.clock.advance(1000);
  t.same(itemRuns(given), ['x', 'y', 'z'], 'each item ran once');
  t.equal(await submitAt(world, accepting, batch('b2', [item('w')], { step: 2 })), 'accepted');
  t.equal(claimOwner(world, 'b2'), homeId, 'the new process is asked');
  t.equal(world.hosts.get(homeId)?.batches.ownedCount(), 1);
  world.stop();
});

await tap.test('should own a batch again after all hosts were restarted', async t => {
  const given = await startScarceHosts('a', 'b', 'c');
  const { world, hosts, accepting } = given;
  world.client.script = call => ({ events: 100 - call.afterEvent, end: { kind: 'done' }, eventMs: 20 });
  t.equal(await submit(world, accepting), 'accepted');
  await world.clock.advance(1500);
  const ids = hosts.map(host => host.context.hostId);
  for (const host of hosts) host.kill();
  for (const hostId of ids) world.expireLease(hostId);
  const restarted = ids.map(hostId => world.start(hostId, '2'));
  await world.clock.advance(300);
  const [first, second] = restarted;
  if (!first || !second) return;
  const outcomes = await Promise.all([submit(world, first, 3000), submit(world, second, 3000)]);
  t.same(outcomes, ['accepted', 'accepted']);
  await read(world, first, 0, 3000);
  await world.clock.advance(4000);
  const page = await read(world, second);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  const texts = page.kind === 'page' ? page.page.results : [];
  for (const { id, text } of texts)
    t.equal(text, Array.from({ length: 100 }, (_, i) => `${id}-${i + 1}`).join('\n'));
  t.equal(restarted.filter(host => host.batches.ownedCount() === 1).length, 1);
  world.stop();
});

await tap.test('should keep a failure domain that is isolated apart', async t => {
  // Fails if a submission leaves its domain although a home of its own domain answers, or if “not run” is not true.
  const given = await startScarceHosts('a', 'b', 'c', 'd');
  const { world, hosts } = given;
  const [a, b, c, d] = hosts;
  if (!a || !b || !c || !d) return;
  for (const id of ['a', 'b']) world.domains.set(id, 'one');
  for (const id of ['c', 'd']) world.domains.set(id, 'two');
  for (const near of ['a', 'b'])
    for (const far of ['c', 'd']) {
      world.blockedLinks.add(`${near}-${far}`);
      world.blockedLinks.add(`${far}-${near}`);
    }
  for (const host of [a, b]) {
    host.storeClient.mode = 'refusing';
    host.isRelaying = true;
  }
  const isolated = await submitAt(world, a, batch('b1', [item('x')]), 2000);
  t.ok(isolated === 'unknown' || isolated === 'not-run', isolated);
  t.equal(await submitAt(world, c, batch('b2', [item('y')])), 'accepted');
  t.equal(await submitAt(world, d, batch('b3', [item('z')], { step: 2 })), 'accepted');
  t.equal(claimOwner(world, 'b2'), claimOwner(world, 'b3'));
  t.match(claimOwner(world, 'b2'), /[cd]/);
  for (const host of [a, b]) host.storeClient.mode = 'available';
  await world.clock.advance(5000);
  t.same(itemRuns(given), ['y', 'z']);
  world.stop();
});

for (const [name, change, isFromMemory] of [
  ['from memory at its home', () => undefined, true],
  [
    'from the store if the claim may be lost',
    (home: GatewayHost) => (home.storeClient.mode = 'silent'),
    false,
  ],
] as [string, (home: GatewayHost) => unknown, boolean][]) {
  await tap.test(`should take the output of an open previous step ${name}`, async t => {
    // Fails if each step reads texts back that its owner has generated, or if the texts of a lost batch are reused.
    const { world, accepting, home } = await startScarceHosts('a', 'b');
    world.client.script = call => ({ events: 300 - call.afterEvent, end: { kind: 'done' }, eventMs: 20 });
    t.equal(await submit(world, accepting), 'accepted');
    await world.clock.advance(1500);
    change(home);
    await world.clock.advance(2500);
    home.storeClient.mode = 'available';
    const before = world.client.items.length;
    const reads = world.store.calls.filter(call => call === 'list').length;
    const given = batch('b2', BATCH.items, { step: 2 });
    await world.until(accepting.batches.submit(given, Deadline.after(world.clock, 3000)));
    t.equal(claimOwner(world, 'b2'), home.context.hostId);
    await world.clock.advance(20);
    const lists = world.store.calls.filter(call => call === 'list').length - reads;
    t.equal(lists === 0, isFromMemory, `${lists} lists`);
    await world.clock.advance(300);
    const resumed = world.client.items.slice(before).filter(call => call.afterEvent > 0);
    t.ok(resumed.length >= 3, 'its texts are continued');
    world.stop();
  });
}

await tap.test(
  'should take the output of an ended step from memory, and the next from the store',
  async t => {
    const { world, accepting, home, next } = await startScarceHosts('a', 'b', 'c');
    world.client.script = call =>
      call.itemId === 'x'
        ? { events: 2, end: { kind: 'done' } }
        : { events: 100 - call.afterEvent, end: { kind: 'done' }, eventMs: 40 };
    await submit(world, accepting);
    await world.clock.advance(1500);
    t.equal(await world.until(accepting.batches.end('b1')), 'ended');
    await world.clock.advance(500);
    for (const [id, step, isHomeGone] of [
      ['b2', 2, false],
      ['b3', 3, true],
    ] as const) {
      if (isHomeGone) home.isRelaying = true;
      const lists = world.store.calls.filter(call => call === 'list').length;
      const before = world.client.items.length;
      t.equal(await submitAt(world, accepting, batch(id, BATCH.items, { step })), 'accepted');
      await world.clock.advance(300);
      t.equal(claimOwner(world, id), (isHomeGone ? next : home).context.hostId);
      t.equal(world.store.calls.filter(call => call === 'list').length > lists, isHomeGone);
      const calls = world.client.items.slice(before);
      t.same(calls.map(call => call.itemId).sort(), ['y', 'z'], 'complete texts are not generated again');
      t.ok(calls.every(call => call.afterEvent >= 30));
      await world.clock.advance(300);
      t.equal(await world.until(accepting.batches.end(id)), 'ended');
      await world.clock.advance(500);
    }
    world.stop();
  },
);

await tap.test('should read previous steps from the store where connections are not scarce', async t => {
  const { world, home } = await startScarceHosts('a', 'b');
  const configuration = JSON.parse(world.store.value(keys.configurationKey) ?? '') as object;
  const enough = { ...configuration, revision: 3, connectionLimits: { 'gen-pool': 400 } };
  world.store.put(keys.configurationKey, JSON.stringify(enough));
  await world.clock.advance(100);
  await submit(world, home);
  await world.clock.advance(500);
  const lists = world.store.calls.filter(call => call === 'list').length;
  await submitAt(world, home, batch('b2', BATCH.items, { step: 2 }));
  await world.clock.advance(300);
  t.ok(world.store.calls.filter(call => call === 'list').length > lists);
  world.stop();
});
