/**
 * Home hosts of trainers' batches: choice, forwarding, limits and failures of the home.
 */
import tap from 'tap';
import { Deadline } from '@fuchsiahitch/base';
import { AcceptingHost, declineReason, homeCandidates, type Batch } from '@fuchsiahitch/batches';
import { BATCH, read, startHosts, submit } from './batchCalls.js';
import { batch, item } from './gatewayFixtures.js';
import { claimOwner, never, setLag, startScarceHosts, submitAt } from './homeHostCalls.js';

const HOSTS = Array.from({ length: 75 }, (_, i) => `h${i}`);
const domainOf = (hostId: string): number => Number(hostId.slice(1)) % 3;

function candidatesAt(self: string, key: string, hosts = HOSTS): readonly string[] {
  const live = hosts.map(hostId => ({ hostId, isOwnDomain: domainOf(hostId) === domainOf(self) }));
  return homeCandidates(key, live, self);
}

await tap.test('should choose the same home at all hosts of a failure domain', t => {
  // Fails if the choice depends on the accepting host: each step of a trainer then opens its own connections.
  for (const domain of [0, 1, 2]) {
    const accepting = HOSTS.filter(hostId => domainOf(hostId) === domain);
    const orders = new Set(accepting.map(hostId => candidatesAt(hostId, 'trainer').join()));
    t.equal(orders.size, 1);
    const order = candidatesAt(accepting[0] ?? '', 'trainer');
    t.equal(order.length, HOSTS.length, 'each live host once, including the accepting one');
    t.ok(order.slice(0, 25).every(hostId => domainOf(hostId) === domain));
  }
  t.same(new AcceptingHost().candidates(BATCH, [{ hostId: 'x', isOwnDomain: true }], 'a'), ['a']);
  t.end();
});

await tap.test('should move only the trainers of a host that leaves', t => {
  // Fails if the loss of one host changes the homes of all trainers, which then lose their connections.
  const keys = Array.from({ length: 200 }, (_, i) => `trainer-${i}`);
  const lost = candidatesAt('h0', 'trainer-0')[0] ?? '';
  const self = HOSTS.find(hostId => hostId !== lost && domainOf(hostId) === 0) ?? '';
  const left = HOSTS.filter(hostId => hostId !== lost);
  for (const key of keys) {
    const [before, next] = candidatesAt(self, key);
    const [after] = candidatesAt(self, key, left);
    t.equal(after, before === lost ? next : before);
  }
  t.ok(new Set(keys.map(key => candidatesAt('h0', key)[0])).size > 20, 'homes are spread over the domain');
  t.end();
});

await tap.test('should decline at the limits of a home', t => {
  const state = {
    isShuttingDown: false,
    isReady: true,
    isRelaying: false,
    loopLagMs: 200,
    openItems: 599,
    hasMemory: true,
  };
  t.equal(declineReason(state), undefined);
  for (const change of [
    { isShuttingDown: true },
    { isReady: false },
    { isRelaying: true },
    { loopLagMs: 201 },
    { openItems: 600 },
    { hasMemory: false },
  ])
    t.type(declineReason({ ...state, ...change }), 'string', JSON.stringify(change));
  t.end();
});

await tap.test('should own a batch at the accepting host if connections are not scarce', async t => {
  // Fails if deployments without a scarce connection limit are served differently from before.
  const [world, ...hosts] = await startHosts('a', 'b', 'c');
  for (const host of hosts) host.handlers.set('batchSubmit', () => t.fail('forwarded'));
  for (const [i, host] of hosts.entries()) {
    await submitAt(world, host, batch(`b${i}`, [item(`x${i}`)]));
    t.equal(claimOwner(world, `b${i}`), host.context.hostId);
    t.notOk(host.context.log.has('batch home'));
  }
  world.stop();
});

await tap.test('should own the batches of a trainer at its home, whichever host accepts them', async t => {
  const { world, hosts, home } = await startScarceHosts('a', 'b', 'c', 'd');
  for (const [i, host] of hosts.entries()) {
    t.equal(await submitAt(world, host, batch(`b${i}`, [item(`x${i}`)], { step: i })), 'accepted');
    t.equal(claimOwner(world, `b${i}`), home.context.hostId);
    const [line] = host.context.log.lines.filter(({ text }) => text === 'batch home');
    t.match(line?.details, { home: home.context.hostId, outcome: host === home ? 'self' : 'accepted' });
  }
  await world.clock.advance(500);
  t.equal(world.client.items.length, 4, 'each item ran once');
  const page = await world.until(hosts[3]?.batches.read('b0', 0, 0) ?? never());
  t.ok(page.kind === 'page' && page.page.results.length === 1);
  world.stop();
});

await tap.test('should accept once if a batch is submitted to two hosts at the same time', async t => {
  const { world, accepting, others, home } = await startScarceHosts('a', 'b', 'c', 'd');
  for (const host of [accepting, home, ...others]) host.storeClient.callDelayMs = 50;
  const outcomes = await Promise.all([accepting, others[0], home].map(host => submit(world, host ?? home)));
  t.same(outcomes, ['accepted', 'accepted', 'accepted']);
  await world.clock.advance(1500);
  t.equal(world.client.items.length, 3, 'each item ran once');
  t.equal(claimOwner(world, 'b1'), home.context.hostId);
  world.stop();
});

await tap.test('should accept once if hosts see different lists of live hosts', async t => {
  // Fails if two homes of one batch both run it.
  const { world, accepting, next, home } = await startScarceHosts('a', 'b', 'c', 'd');
  const all = accepting.peers();
  accepting.peers = () => all.filter(({ hostId }) => hostId !== home.context.hostId);
  for (const host of [accepting, home, next]) host.storeClient.callDelayMs = 50;
  const outcomes = await Promise.all([submit(world, accepting), submit(world, home)]);
  t.same(outcomes, ['accepted', 'accepted']);
  await world.clock.advance(1500);
  t.equal(world.client.items.length, 3, 'each item ran once');
  t.equal(home.batches.ownedCount() + next.batches.ownedCount(), 1);
  world.stop();
});

for (const [name, overload] of [
  ['relays its store calls', host => (host.isRelaying = true)],
  ['has event loop lag', host => setLag(host, 250)],
  ['has lost its configuration', host => (host.configuration.route = () => ({ kind: 'unknown' }))],
] as [string, (host: Awaited<ReturnType<typeof startScarceHosts>>['home']) => unknown][]) {
  await tap.test(`should use the next candidate while the home ${name}`, async t => {
    // Fails if a declined submission leaves a claim or an owner behind, or if an overloaded home gets more batches.
    const { world, accepting, home, next } = await startScarceHosts('a', 'b', 'c', 'd');
    overload(home);
    const before = home.storeClient.calls;
    t.equal(await submit(world, accepting), 'accepted');
    t.equal(home.storeClient.calls - before, 0, 'the home made no call to the store');
    t.equal(home.batches.ownedCount(), 0);
    t.equal(claimOwner(world, 'b1'), next.context.hostId);
    await world.clock.advance(500);
    t.equal(world.client.items.length, 3);
    world.stop();
  });
}

await tap.test('should use the home again one second after a late turn of its event loop', async t => {
  // Fails if one late turn sends the trainer's next step, up to 5 s later, to a host without its connections.
  const { world, accepting, home } = await startScarceHosts('a', 'b', 'c');
  await world.clock.advance(1000);
  await world.clock.blockEventLoop(300, () => undefined);
  await submitAt(world, accepting, batch('b1', [item('x')]));
  t.equal(claimOwner(world, 'b1'), accepting.context.hostId, 'all hosts share the clock and decline');
  await world.clock.advance(1200);
  t.ok(home.context.eventLoop.recentLagMs() > 200);
  await submitAt(world, accepting, batch('b2', [item('y')]));
  t.equal(claimOwner(world, 'b2'), home.context.hostId);
  world.stop();
});

await tap.test('should decline at 600 open items, including those of batches being accepted', async t => {
  const { world, accepting, home, next } = await startScarceHosts('a', 'b', 'c', 'd');
  world.client.script = () => ({ events: 1000, end: { kind: 'done' }, eventMs: 100 });
  const large = (id: string): Batch =>
    batch(
      id,
      Array.from({ length: 300 }, (_, i) => item(`${id}-${i}`)),
    );
  home.storeClient.callDelayMs = 100;
  await Promise.all(['b1', 'b2', 'b3'].map(id => submitAt(world, accepting, large(id))));
  const owners = ['b1', 'b2', 'b3'].map(id => claimOwner(world, id));
  t.equal(owners.filter(owner => owner === home.context.hostId).length, 2);
  t.equal(owners.filter(owner => owner === next.context.hostId).length, 1);
  await submitAt(world, accepting, large('b4'));
  t.equal(claimOwner(world, 'b4'), next.context.hostId);
  world.stop();
});

await tap.test('should ask two hosts at most', async t => {
  const { world, accepting, home, next, others } = await startScarceHosts('a', 'b', 'c', 'd', 'e');
  home.isRelaying = true;
  next.isRelaying = true;
  for (const host of others)
    if (host !== next) host.handlers.set('batchSubmit', () => t.fail('a third host was asked'));
  t.equal(await submit(world, accepting), 'accepted');
  t.equal(claimOwner(world, 'b1'), accepting.context.hostId);
  world.stop();
});

await tap.test('should not forward without end between overloaded hosts', async t => {
  // Fails if a home forwards again, or if two hosts wait for each other's submission of the same batch.
  const { world, accepting, home } = await startScarceHosts('a', 'b');
  for (const host of [accepting, home]) setLag(host, 300);
  const startMs = world.clock.nowMs();
  const outcomes = await Promise.all([submit(world, accepting), submit(world, home)]);
  t.same(outcomes, ['accepted', 'accepted']);
  t.ok(world.clock.nowMs() - startMs < 100, `${world.clock.nowMs() - startMs} ms`);
  await world.clock.advance(1000);
  t.equal(world.client.items.length, 3, 'each item ran once');
  world.stop();
});

await tap.test('should not decline a batch that it is about to accept', async t => {
  // Fails if a host declines although its own write is pending: the caller could then answer “not run” and the batch runs.
  const { world, accepting, home } = await startScarceHosts('a', 'b');
  home.storeClient.callDelayMs = 200;
  const own = home.batches.submit(BATCH, Deadline.after(world.clock, 3000));
  await world.clock.advance(50);
  setLag(home, 300);
  accepting.storeClient.mode = 'refusing';
  t.equal(await submit(world, accepting, 2000), 'accepted');
  t.equal((await own).kind, 'accepted');
  t.equal(claimOwner(world, 'b1'), home.context.hostId);
  t.equal(await submit(world, accepting, 2000), 'accepted', 'nor one that it owns');
  world.stop();
});

await tap.test('should accept a forwarded batch while its own submission waits for another host', async t => {
  const { world, accepting, home, next } = await startScarceHosts('a', 'b', 'c');
  setLag(home, 300);
  next.handlers.set('batchSubmit', () => never());
  const waiting = submit(world, home);
  await world.clock.advance(50);
  setLag(home, 0);
  const startMs = world.clock.nowMs();
  t.equal(await submit(world, accepting), 'accepted');
  t.ok(world.clock.nowMs() - startMs < 100, `${world.clock.nowMs() - startMs} ms`);
  t.equal(await waiting, 'accepted');
  t.equal(claimOwner(world, 'b1'), home.context.hostId);
  world.stop();
});

await tap.test('should leave a host that failed alone for two seconds, but not its next process', async t => {
  const { world, accepting, home, next } = await startScarceHosts('a', 'b', 'c', 'd');
  world.refusing.add(home.context.hostId);
  const askedAt = async (id: string): Promise<unknown> => {
    await submitAt(world, accepting, batch(id, [item(id)]));
    const line = accepting.context.log.lines.findLast(({ text }) => text === 'batch home');
    return line?.details.asked;
  };
  const homeId = home.context.hostId;
  const nextId = next.context.hostId;
  t.equal(await askedAt('b1'), `${homeId}: not-sent (not-sent), ${nextId}: accepted`);
  world.refusing.delete(homeId);
  await world.clock.advance(1500);
  t.equal(await askedAt('b2'), `${nextId}: accepted`);
  await world.clock.advance(700);
  t.equal(await askedAt('b3'), `${homeId}: accepted`);
  world.refusing.add(homeId);
  await askedAt('b4');
  world.refusing.delete(homeId);
  home.kill();
  world.start(homeId, '2');
  await world.clock.advance(200);
  t.equal(await askedAt('b5'), `${homeId}: accepted`);
  world.stop();
});

await tap.test('should use the next candidate during an upgrade of the home', async t => {
  // Fails if the refusal of a host that does not know the call counts as a lost reply.
  const { world, accepting, home, next } = await startScarceHosts('a', 'b', 'c');
  home.handlers.delete('batchSubmit');
  t.equal(await submit(world, accepting), 'accepted');
  t.equal(claimOwner(world, 'b1'), next.context.hostId);
  world.stop();
});

await tap.test('should pass the time left to the home and keep some for its own write', async t => {
  const { world, accepting, home } = await startScarceHosts('a', 'b');
  const lefts: number[] = [];
  home.handlers.set('batchSubmit', ({ leftMs }: { readonly leftMs: number }) => {
    lefts.push(leftMs);
    return { kind: 'declined', reason: 'test' };
  });
  for (const waitMs of [6000, 800, 400]) {
    const given = batch(`b${waitMs}`, [item(`x${waitMs}`)]);
    t.equal(await submitAt(world, accepting, given, waitMs), 'accepted');
  }
  t.same(lefts, [650, 450], 'not asked if the deadline is too close');
  world.stop();
});

await tap.test(
  'should wait for a forwarded submission before it answers that a batch is unknown',
  async t => {
    // Fails if a trainer that ends a batch right after submitting it is told that there is none, and the batch runs.
    const { world, accepting, home } = await startScarceHosts('a', 'b');
    home.storeClient.callDelayMs = 100;
    const submitting = submit(world, accepting);
    const end = accepting.batches.end('b1');
    t.equal(await submitting, 'accepted');
    t.equal(await world.until(end), 'ended');
    await world.clock.advance(500);
    t.same(world.client.items, []);
    world.stop();
  },
);

await tap.test('should hand batches over to the next homes first', async t => {
  // Fails if a planned restart of the home moves its trainers to a random host, and their next step to yet another.
  const { world, accepting, home, next } = await startScarceHosts('a', 'b', 'c', 'd', 'e', 'f');
  world.client.script = call => ({ events: 60 - call.afterEvent, end: { kind: 'done' }, eventMs: 20 });
  await submit(world, accepting);
  await world.clock.advance(600);
  await world.until(home.batches.handOver());
  t.equal(claimOwner(world, 'b1'), next.context.hostId);
  t.equal(await submitAt(world, accepting, batch('b2', [item('late')], { step: 2 })), 'accepted');
  t.equal(claimOwner(world, 'b2'), next.context.hostId, 'the leaving host declines');
  await world.clock.advance(2000);
  const page = await read(world, accepting);
  t.ok(page.kind === 'page' && page.page.results.length === 3);
  world.stop();
});

await tap.test('should pass its own submissions on while it shuts down', async t => {
  const { world, home, next } = await startScarceHosts('a', 'b', 'c');
  await home.batches.handOver();
  t.equal(await submit(world, home), 'accepted');
  t.equal(claimOwner(world, 'b1'), next.context.hostId);
  world.stop();
});

await tap.test('should not forward a batch that exceeds a message between hosts', async t => {
  const { world, accepting } = await startScarceHosts('a', 'b');
  const large = item('x', { bodyBase64: 'a'.repeat(3 * 1024 * 1024) });
  const outcome = accepting.batches.submit(batch('b1', [large]), Deadline.after(world.clock, 1000));
  t.equal((await world.until(outcome)).kind, 'accepted');
  t.equal(claimOwner(world, 'b1'), accepting.context.hostId);
  world.stop();
});

for (const reply of [{ kind: 'unknown' }, { kind: 'not-run', reason: 'test', retryAfterMs: 1000 }]) {
  await tap.test(`should leave a home alone for two seconds that answered ${reply.kind}`, async t => {
    // Fails if each submission waits for a home that cannot reach the store.
    const { world, accepting, home } = await startScarceHosts('a', 'b');
    let asked = 0;
    home.handlers.set('batchSubmit', () => {
      asked += 1;
      return reply;
    });
    for (const [i, expected] of [1, 1, 2].entries()) {
      t.equal(await submitAt(world, accepting, batch(`b${i}`, [item(`x${i}`)])), 'accepted');
      t.equal(asked, expected);
      await world.clock.advance(1100);
    }
    world.stop();
  });
}

await tap.test('should report a home that was skipped because it is paused', async t => {
  // Fails if logs and metrics show a skipped home as a batch whose home is the accepting host.
  const { world, accepting, home } = await startScarceHosts('a', 'b');
  world.refusing.add(home.context.hostId);
  await submitAt(world, accepting, batch('b1', [item('x')]));
  await submitAt(world, accepting, batch('b2', [item('y')]));
  const lines = accepting.context.log.lines.filter(({ text }) => text === 'batch home');
  const [first, second] = lines.map(({ details }) => details);
  t.match(first, { outcome: 'not-sent', skipped: '' });
  t.match(second, { outcome: 'paused', asked: '', skipped: home.context.hostId });
  const metrics = await accepting.context.metrics.registry.metrics();
  t.match(metrics, 'fuchsiahitch_batch_homes_total{outcome="paused"} 1');
  world.stop();
});
