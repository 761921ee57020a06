/**
 * Store watch that is shared by the hosts of a failure domain.
 */
import tap from 'tap';
import { err, every, Instant, ok, sleep, VirtualClock } from '@fuchsiahitch/base';
import type { Owner } from '@fuchsiahitch/batches';
import {
  EndpointDirectory,
  newsBudget,
  SharedWatch,
  WatchFeed,
  watchedPrefixes,
  type Hosts,
} from '@fuchsiahitch/gateway';
import { FakeStore, type FakeStoreClient } from './fakeStore.js';
import { endpointRecord, keys, JsonRecordDecoder, testContext, type TestLog } from './gatewayFixtures.js';

interface DomainHost {
  readonly log: TestLog;
  readonly client: FakeStoreClient;
  readonly endpoints: EndpointDirectory;
}

/** Starts hosts of one domain that share a watch of the endpoint records. */
async function startedHosts(
  ids: readonly string[],
  changeEveryMs = 300,
): Promise<{
  readonly clock: VirtualClock;
  readonly store: FakeStore;
  readonly hosts: readonly DomainHost[];
  readonly silent: Set<string>;
  readonly end: () => void;
}> {
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  for (const id of ['e1', 'e2']) store.put(`${keys.endpointPrefix}${id}`, endpointRecord());
  const silent = new Set<string>();
  const handlers = new Map<string, (request: never) => unknown>();
  const stops: AbortController[] = [];
  let changes = 0;
  const hosts = ids.map(id => {
    const context = testContext(clock, id);
    stops.push(context.stop);
    const client = store.client();
    const owner = (hostId: string): Owner => ({ hostId, incarnation: '1', address: hostId });
    const directory: Hosts = {
      self: () => owner(id),
      isSynced: () => true,
      isAlive: () => true,
      onTerminated: () => () => undefined,
      isTerminated: () => false,
      isOwnDomain: () => true,
      isHeld: () => false,
      onKeyChange: () => undefined,
      lastOrders: () => undefined,
      peers: () => ids.filter(other => other !== id).map(owner),
      call: async (address, call, request, timeoutMs) => {
        if (silent.has(address)) {
          await sleep(clock, timeoutMs);
          return err({ kind: 'timed-out' });
        }
        return ok(call.reply.parse(await handlers.get(address)?.(request as never)));
      },
    };
    const records = new JsonRecordDecoder();
    const prefixes = watchedPrefixes(keys, records, newsBudget()).filter(
      ({ prefix }) => prefix === keys.endpointPrefix,
    );
    const watch = new SharedWatch(context, client, prefixes);
    watch.setHosts(directory);
    watch.serve({ handle: (_call, handler) => void handlers.set(id, handler as never) });
    const endpoints = new EndpointDirectory(context, watch, keys, records, () => undefined);
    endpoints.start();
    return { log: context.log, client, endpoints };
  });
  // 0: the record never changes.
  if (changeEveryMs > 0)
    every(clock, changeEveryMs, new AbortController().signal, () =>
      store.put(`${keys.endpointPrefix}e2`, endpointRecord({ slots: 4 + (++changes % 2) })),
    );
  await clock.advance(5000);
  return { clock, store, hosts, silent, end: () => stops.forEach(stop => stop.abort()) };
}

await tap.test('should watch the store once per failure domain', async t => {
  // Guards against store calls that grow with the number of hosts.
  const { clock, store, hosts, end } = await startedHosts(['a', 'b', 'c']);
  const before = hosts.map(host => host.client.calls);
  await clock.advance(9000);
  const calls = hosts.map((host, i) => host.client.calls - (before[i] ?? 0));
  t.ok((calls[0] ?? 0) <= 11, `${calls[0]} calls of the host that watches in 9 s`);
  t.same(calls.slice(1), [0, 0]);
  store.put(`${keys.endpointPrefix}e1`, endpointRecord({ isLeaving: true }));
  await clock.advance(1000);
  t.ok(hosts.every(host => host.endpoints.get('e1')?.isLeaving));
  end();
});

await tap.test(
  'should learn of a leaving endpoint in time when the watching host has failed or lost the store',
  async t => {
    // Guards against followers that depend on an unresponsive watching host and send requests to a leaving endpoint.
    for (const fault of ['gone', 'blind'] as const) {
      const { clock, store, hosts, silent, end } = await startedHosts(['a', 'b', 'c']);
      const [watching, ...others] = hosts;
      if (!watching) return;
      if (fault === 'gone') silent.add('a');
      else watching.client.mode = 'silent';
      store.put(`${keys.endpointPrefix}e1`, endpointRecord({ isLeaving: true }));
      await clock.advance(1700);
      t.ok(
        others.every(host => host.endpoints.get('e1')?.isLeaving),
        fault,
      );
      end();
    }
  },
);

await tap.test(
  'should log how a host learned of a leaving endpoint, and for how long at most it was unknown',
  async t => {
    // Guards against incidents in which nobody can tell a late view from news that were not applied.
    const { clock, store, hosts, end } = await startedHosts(['a', 'b']);
    for (const host of hosts) t.ok(host.endpoints.viewAgeMs() <= 1000, `${host.endpoints.viewAgeMs()} ms`);
    const changedMs = clock.nowMs();
    store.put(`${keys.endpointPrefix}e1`, endpointRecord({ isLeaving: true }));
    while (hosts.some(host => !host.endpoints.get('e1')?.isLeaving)) await clock.advance(10);
    const tookMs = clock.nowMs() - changedMs;
    for (const [i, source] of ['watch', 'follow'].entries()) {
      const line = hosts[i]?.log.lines.find(({ details }) => details.change === 'leaving');
      t.match(line?.details, { endpointId: 'e1', source });
      const maxDelayMs = Number(line?.details.maxDelayMs);
      t.ok(maxDelayMs >= tookMs - 20 && maxDelayMs <= tookMs + 1000, `${maxDelayMs} ms, took ${tookMs} ms`);
    }
    end();
  },
);

await tap.test('should follow the watching host when endpoint records change rarely', async t => {
  // Guards against a watch whose wait and spacing together exceed the time for which its view counts as fresh.
  for (const changeEveryMs of [0, 2300, 3700]) {
    const { clock, hosts, end } = await startedHosts(['a', 'b', 'c'], changeEveryMs);
    const before = hosts.map(host => host.client.calls);
    await clock.advance(20_000);
    const calls = hosts.map((host, i) => host.client.calls - (before[i] ?? 0));
    t.ok((calls[0] ?? 0) <= 40, `${calls[0]} calls of the host that watches in 20 s`);
    t.same(calls.slice(1), [0, 0], `a change every ${changeEveryMs} ms`);
    end();
  }
});

await tap.test('should pass on a change that a later page of a complete read shows already', t => {
  // Guards against followers that never learn of an endpoint which left between two pages of the watching host's read.
  const records = new JsonRecordDecoder();
  const watched = watchedPrefixes(keys, records, newsBudget()).find(
    ({ prefix }) => prefix === keys.endpointPrefix,
  );
  if (!watched) throw new Error('the endpoints are watched');
  const feed = new WatchFeed(watched);
  const asOf = Instant.now(new VirtualClock());
  const left = { key: `${keys.endpointPrefix}e1`, value: endpointRecord({ isLeaving: true }), version: 101 };
  feed.restart({ items: [left], revision: 100 }, asOf);
  feed.apply(100, { events: [left], revision: 101 }, { asOf, source: 'watch' });
  t.same(feed.after(100)?.events, [left]);
  t.end();
});
