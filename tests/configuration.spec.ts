/**
 * The configuration in force on a host: monotonic and up to date.
 */
import tap from 'tap';
import { VirtualClock } from '@fuchsiahitch/base';
import { ConfigurationService } from '@fuchsiahitch/gateway';
import { FakeStore } from './fakeStore.js';
import { keys, JsonRecordDecoder, route, testContext } from './gatewayFixtures.js';

await tap.test('should apply a new configuration in time despite an unresponsive watch', async t => {
  // Guards against 404 for a new route, because an unresponsive watch is restarted too late.
  for (const silentMs of [50, 500, 900]) {
    const clock = new VirtualClock();
    const store = new FakeStore(clock);
    const client = store.client();
    const context = testContext(clock);
    const configuration = new ConfigurationService(context, client, keys, new JsonRecordDecoder());
    store.put(keys.configurationKey, JSON.stringify({ revision: 1, route: route(), models: ['m'] }));
    configuration.start();
    await clock.advance(200);
    client.mode = 'silent';
    await clock.advance(silentMs + 1000);
    client.mode = 'available';
    store.put(keys.configurationKey, JSON.stringify({ revision: 2, route: route(), models: ['m'] }));
    await clock.advance(1950);
    const result = configuration.route('quests', '/run/x');
    t.equal(result.kind === 'routed' ? result.revision : 0, 2, `${silentMs} ms`);
    context.stop.abort();
  }
});

await tap.test('should never return to an older configuration', async t => {
  // Guards against restoring a removed route when a watch and a full read deliver out of order.
  const clock = new VirtualClock();
  const store = new FakeStore(clock);
  const context = testContext(clock);
  const configuration = new ConfigurationService(context, store.client(), keys, new JsonRecordDecoder());
  const write = (revision: number, timeoutMs: number): void =>
    store.put(keys.configurationKey, JSON.stringify({ revision, route: route({ timeoutMs }), models: [] }));
  t.equal(configuration.route('quests', '/run/1').kind, 'unknown');
  configuration.start();
  write(7, 700);
  await clock.advance(200);
  write(5, 500);
  await clock.advance(200);
  const result = configuration.route('quests', '/run/1');
  t.ok(result.kind === 'routed' && result.route.timeoutMs === 700);
  t.equal(configuration.route('quests', '/other/').kind, 'no-route');
  t.equal(configuration.route('other', '/run/1').kind, 'no-route');
  context.stop.abort();
});
