/**
 * The work of models: announced by owners of batches, averaged over steps, and applied by the holders of weight orders.
 */
import tap from 'tap';
import { Deadline, VirtualClock } from '@fuchsiahitch/base';
import { ModelDemand, workOfModels, type ModelDemandUpdate, type PoolDemand } from '@fuchsiahitch/batches';
import { modelShares } from '@fuchsiahitch/gateway';
import type { LoadOrder } from '@fuchsiahitch/gateway';
import { batch, endpointRecord, item, keys, route } from './gatewayFixtures.js';
import { GatewayFleet, type FleetHost } from './gatewayFleet.js';
import { GatewayWorld, type GatewayHost } from './gatewayHosts.js';

const POOL = 'gen-pool';
const MODELS = ['m', 'n'];

function update(model: string, batchId: string, expectedTokens: number, events?: number): ModelDemandUpdate {
  const step = { pool: POOL, model, batchId, items: 2, expectedTokens };
  return events === undefined ? step : { ...step, events };
}

function isAny(): boolean {
  return true;
}

/** The work by model, rounded, with its unit. */
function workOf(demand: PoolDemand | undefined): Readonly<Record<string, number | string>> | undefined {
  if (!demand) return undefined;
  const figures = [...demand.models].map(([model, { work }]) => [model, Math.round(work)] as const);
  return { unit: demand.unit, ...Object.fromEntries(figures) };
}

await tap.test('should average the last three steps', t => {
  const demand = new ModelDemand(new VirtualClock());
  for (const [i, tokens] of [900, 10, 20, 60].entries()) demand.record(update('m', `m${i}`, tokens));
  demand.record(update('n', 'n0', 7));
  t.same(workOf(demand.ofPool(POOL, MODELS, isAny)), { unit: 'tokens', m: 30, n: 7 });
  t.equal(demand.ofPool('other', MODELS, isAny), undefined);
  t.end();
});

await tap.test('should use events once they are known for all models, and expected tokens before', t => {
  // Fails if events of one model are compared with tokens of another.
  const demand = new ModelDemand(new VirtualClock());
  demand.record(update('m', 'm0', 100));
  demand.record(update('n', 'n0', 100));
  demand.record(update('m', 'm0', 100, 300));
  t.same(workOf(demand.ofPool(POOL, MODELS, isAny)), { unit: 'tokens', m: 100, n: 100 });
  demand.record(update('n', 'n0', 100, 200));
  t.same(workOf(demand.ofPool(POOL, MODELS, isAny)), { unit: 'events', m: 300, n: 200 });
  demand.record(update('m', 'm1', 100));
  t.same(workOf(demand.ofPool(POOL, MODELS, isAny)), { unit: 'events', m: 300, n: 200 }, 'a running step');
  t.end();
});

await tap.test('should accept announcements that are repeated, lost or out of order', t => {
  // Fails if a repeated start discards the events of its batch, or if a batch counts twice.
  const demand = new ModelDemand(new VirtualClock());
  demand.record(update('m', 'm0', 100, 300));
  demand.record(update('m', 'm0', 100));
  demand.record(update('m', 'm0', 100));
  demand.record(update('m', 'm1', 100, 600));
  demand.record(update('n', 'n0', 100, 200));
  t.same(workOf(demand.ofPool(POOL, MODELS, isAny)), { unit: 'events', m: 450, n: 200 });
  t.end();
});

await tap.test('should ignore steps without events, and require estimates for tokens', t => {
  // Fails if a batch that was ended at once, or a trainer without estimates, reduces a model's share to one endpoint.
  const demand = new ModelDemand(new VirtualClock());
  demand.record(update('m', 'm0', 0, 300));
  demand.record(update('m', 'm1', 0, 0));
  demand.record(update('n', 'n0', 0, 200));
  t.same(workOf(demand.ofPool(POOL, MODELS, isAny)), { unit: 'events', m: 300, n: 200 });
  const fresh = new ModelDemand(new VirtualClock());
  fresh.record(update('m', 'm0', 0));
  fresh.record(update('n', 'n0', 10));
  t.equal(fresh.ofPool(POOL, MODELS, isAny), undefined);
  t.end();
});

await tap.test('should drop demand after 30 s and require it of every model with a version', async t => {
  // Fails if a model that has stopped keeps its share of the endpoints.
  const clock = new VirtualClock();
  const demand = new ModelDemand(clock);
  demand.record(update('m', 'm0', 100));
  t.equal(demand.ofPool(POOL, MODELS, isAny), undefined, 'none of the other model');
  t.same(
    workOf(demand.ofPool(POOL, MODELS, model => model === 'm')),
    { unit: 'tokens', m: 100 },
    'the other model has no trainer',
  );
  demand.record(update('n', 'n0', 100));
  await clock.advance(29_000);
  demand.record(update('m', 'm1', 100));
  t.ok(demand.ofPool(POOL, MODELS, isAny));
  await clock.advance(2000);
  t.equal(demand.ofPool(POOL, MODELS, isAny), undefined);
  t.equal(demand.ofPool(POOL, MODELS, () => false)?.models.get('m')?.ageMs, 2000);
});

await tap.test('should count a model whose trainer has not started as an average one', t => {
  // Fails if the first trainer that starts gets nearly all endpoints, which the others then load again.
  const demand = new ModelDemand(new VirtualClock());
  demand.record(update('m', 'm0', 100));
  const first = demand.ofPool(POOL, ['m', 'n', 'o'], model => model === 'm');
  t.same(first && [...workOfModels(first, ['m', 'n', 'o']).values()], [100, 100, 100]);
  demand.record(update('n', 'n0', 300));
  const both = demand.ofPool(POOL, ['m', 'n', 'o'], model => model !== 'o');
  t.same(both && [...workOfModels(both, ['m', 'n', 'o']).values()], [100, 300, 200]);
  t.end();
});

/** A configuration with two models and, for two hosts, scarce connections to endpoints with four slots. */
function publishConfiguration(world: GatewayWorld, maxConns?: number): void {
  const connectionLimits = maxConns === undefined ? {} : { 'gen-pool': maxConns };
  const configuration = { revision: 2, route: route(), models: MODELS, connectionLimits };
  world.store.put(keys.configurationKey, JSON.stringify(configuration));
  for (const model of MODELS)
    world.store.put(`${keys.versionPrefix}${model}`, JSON.stringify({ model, version: 1 }));
  for (const id of ['e1', 'e2'])
    world.store.put(
      `${keys.endpointPrefix}${id}`,
      JSON.stringify({ ...(JSON.parse(endpointRecord()) as object), versions: { m: 1, n: 1 } }),
    );
}

async function startWorld(maxConns: number | undefined): Promise<[GatewayWorld, GatewayHost, GatewayHost]> {
  const world = new GatewayWorld();
  publishConfiguration(world, maxConns);
  const [a, b] = [world.start('a'), world.start('b')];
  await world.clock.advance(200);
  return [world, a, b];
}

async function run(world: GatewayWorld, host: GatewayHost, batchId: string, model: string): Promise<void> {
  const items = ['x', 'y'].map(id => item(`${batchId}-${id}`, { expectedTokens: 50 }));
  const submitted = batch(batchId, items, { model });
  await world.until(host.batches.submit(submitted, Deadline.after(world.clock, 3000)));
  await world.clock.advance(500);
}

await tap.test('should announce the step and its events to all hosts', async t => {
  const [world, a, b] = await startWorld(6);
  world.client.script = call => ({ events: call.itemId.startsWith('m') ? 5 : 20, end: { kind: 'done' } });
  await run(world, a, 'm1', 'm');
  t.equal(b.demand.ofPool(POOL), undefined, 'demand of one model only');
  await run(world, b, 'n1', 'n');
  for (const host of [a, b]) t.same(workOf(host.demand.ofPool(POOL)), { unit: 'tokens', m: 100, n: 100 });
  t.equal(await world.until(a.batches.end('m1')), 'ended');
  t.equal(await world.until(a.batches.end('n1')), 'ended', 'ended through another host');
  await world.clock.advance(100);
  for (const host of [a, b]) t.same(workOf(host.demand.ofPool(POOL)), { unit: 'events', m: 10, n: 40 });
  world.stop();
});

await tap.test('should announce nothing unless the connections of the pool are scarce', async t => {
  // Fails if pools without a limit, or with enough connections, are assigned by work.
  for (const maxConns of [undefined, 8]) {
    const [world, a, b] = await startWorld(maxConns);
    for (const model of MODELS) {
      await run(world, a, `${model}1`, model);
      await world.until(a.batches.end(`${model}1`));
    }
    for (const host of [a, b]) {
      t.equal(host.demand.ofPool(POOL), undefined);
      t.notOk(host.demand.isAwaited(POOL));
      t.notOk(host.context.log.has('model demand'));
    }
    world.stop();
  }
});

await tap.test('should make up for lost announcements by the next step', async t => {
  // Fails if a host that missed an announcement keeps another view of the work than the others.
  const [world, a, b] = await startWorld(6);
  world.blockedLinks.add('a-b');
  for (const model of MODELS) await run(world, a, `${model}1`, model);
  t.ok(a.demand.ofPool(POOL));
  t.equal(b.demand.ofPool(POOL), undefined);
  world.blockedLinks.clear();
  for (const model of MODELS) await run(world, a, `${model}2`, model);
  t.same(workOf(b.demand.ofPool(POOL)), workOf(a.demand.ofPool(POOL)));
  world.stop();
});

await tap.test('should not report the events of a batch that was handed over', async t => {
  // Fails if the part of the events that the last owner has seen counts as the work of the whole step.
  const [world, a, b] = await startWorld(6);
  world.client.script = () => ({ events: 40, eventMs: 50, end: { kind: 'done' } });
  // The first host owns both batches, whichever host is their home.
  world.blockedLinks.add('a-b');
  for (const model of MODELS) await run(world, a, `${model}1`, model);
  world.blockedLinks.clear();
  await world.until(a.batches.handOver());
  await world.clock.advance(4000);
  for (const model of MODELS) t.equal(await world.until(b.batches.end(`${model}1`)), 'ended');
  t.equal(b.demand.ofPool(POOL)?.unit, 'tokens');
  t.equal(b.context.log.lines.filter(({ text }) => text === 'model demand').length, 2, 'starts only');
  world.stop();
});

await tap.test('should await demand for the first 10 s after the start of a host', async t => {
  // Fails if a restarted order holder assigns equally and undoes the shares of the others, or waits forever.
  const [world, a] = await startWorld(6);
  t.ok(a.demand.isAwaited(POOL));
  await run(world, a, 'm1', 'm');
  t.ok(a.demand.isAwaited(POOL), 'demand of one model only');
  await run(world, a, 'n1', 'n');
  t.notOk(a.demand.isAwaited(POOL));
  const [idle, host] = await startWorld(6);
  await idle.clock.advance(10_000);
  t.notOk(host.demand.isAwaited(POOL));
  world.stop();
  idle.stop();
});

/** A fleet whose endpoints carry out weight orders, with two models that share the pool. */
class LoadingFleet {
  readonly fleet = new GatewayFleet({
    hosts: 6,
    domains: 3,
    endpoints: ENDPOINTS,
    isHeartbeatDisabled: true,
  });
  /** Loads of endpoints that had loaded another model before. */
  modelChanges = 0;
  private readonly _versions = new Map<string, Map<string, number>>();
  private _step = 1;
  private _carriedOut = 0;

  constructor() {
    const connectionLimits = { 'gen-pool': 12 };
    const configuration = { revision: 2, route: route(), models: MODELS, connectionLimits };
    this.fleet.store.put(keys.configurationKey, JSON.stringify(configuration));
    for (let i = 0; i < ENDPOINTS; i++) this._versions.set(`e${i}`, new Map([[i % 2 === 0 ? 'm' : 'n', 2]]));
    this._nameVersions();
    for (let i = 0; i < ENDPOINTS; i++) this._writeRecord(`e${i}`);
    this.fleet.client.script = ({ itemId }) => ({
      events: itemId.startsWith('m') ? 10 : 20,
      end: { kind: 'done' },
    });
    this.fleet.client.weightReport = ({ id }) => ({
      startWallMs: 0,
      versions: this._versions.get(id) ?? new Map<string, number>(),
      isBusy: false,
      sequence: 0,
    });
  }

  /** Number of endpoints whose newest weights are those of each model. */
  counts(): readonly number[] {
    const models = [...this._versions.values()].map(closest);
    return MODELS.map(model => models.filter(one => one === model).length);
  }

  /** Runs `count` steps of both trainers, one every 4 s. */
  async runSteps(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      this._step += 1;
      this._nameVersions();
      const owners = this.fleet.hosts.filter(({ isRunning }) => isRunning);
      const batchIds = MODELS.map(model => `${model}-${this._step}`);
      for (const [j, model] of MODELS.entries()) void this._submit(owners[j], batchIds[j] ?? '', model);
      await this.wait(3500);
      for (const [j, batchId] of batchIds.entries()) void owners[j]?.gateway.batches.end(batchId);
      await this.wait(500);
    }
  }

  /** Advances the clock and carries out the orders that are given meanwhile. */
  async wait(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 50) {
      await this.fleet.clock.advance(50);
      const { orders } = this.fleet.client;
      for (const order of orders.slice(this._carriedOut))
        this.fleet.clock.after(LOAD_MS, () => this._loaded(order));
      this._carriedOut = orders.length;
    }
  }

  private async _submit(host: FleetHost | undefined, batchId: string, model: string): Promise<void> {
    const items = Array.from({ length: 8 }, (_, i) =>
      item(`${batchId}-${i}`, { expectedTokens: model === 'm' ? 10 : 20 }),
    );
    const submitted = batch(batchId, items, { model, minVersion: this._step - 1, step: this._step });
    await host?.gateway.batches.submit(submitted, Deadline.after(this.fleet.clock, 3000));
  }

  private _nameVersions(): void {
    for (const model of MODELS)
      this.fleet.store.put(
        `${keys.versionPrefix}${model}`,
        JSON.stringify({ model, version: this._step + 1 }),
      );
  }

  private _loaded({ endpoint, model, version }: LoadOrder): void {
    const versions = this._versions.get(endpoint.id);
    if (!versions) return;
    if (closest(versions) !== model) this.modelChanges += 1;
    versions.set(model, version);
    this._writeRecord(endpoint.id);
  }

  private _writeRecord(id: string): void {
    const i = Number(id.slice(1));
    const record = JSON.parse(
      endpointRecord({ address: `10.0.0.1:${i}`, domain: `domain-${i % 3}` }),
    ) as object;
    const versions = Object.fromEntries(this._versions.get(id) ?? []);
    this.fleet.store.put(`${keys.endpointPrefix}${id}`, JSON.stringify({ ...record, versions }));
  }
}

const ENDPOINTS = 12;
const LOAD_MS = 800;

/** The model whose version is newest. */
function closest(versions: ReadonlyMap<string, number>): string | undefined {
  const [m = 0, n = 0] = MODELS.map(model => versions.get(model));
  return m > n ? 'm' : 'n';
}

function sharesAt(host: FleetHost): readonly number[] {
  const { shares } = modelShares(POOL, host.gateway);
  return MODELS.map(model => shares.get(model)?.length ?? 0);
}

await tap.test('should load endpoints in proportion to the work of two models', async t => {
  const world = new LoadingFleet();
  await world.fleet.start();
  await world.fleet.clock.advance(6000);
  t.same(world.counts(), [6, 6]);
  await world.runSteps(5);
  t.same(world.counts(), [4, 8]);
  t.equal(world.modelChanges, 2);
  for (const host of world.fleet.hosts) t.same(sharesAt(host), [4, 8]);
  const logged = world.fleet.hosts[0]?.context.log.lines.filter(({ text }) => text === 'model share') ?? [];
  t.match(logged.at(-1)?.details, { pool: POOL, count: 8, work: 160, demandAgeMs: Number });
  const metrics = await world.fleet.hosts[0]?.context.metrics.registry.metrics();
  t.match(metrics, /fuchsiahitch_model_endpoints\{pool="gen-pool",model="n"\} 8/);
  world.fleet.stop();
});

await tap.test('should change no shares when the order holders restart without demand', async t => {
  // Fails if a restarted holder returns to equal shares until the next steps, which costs loads in both directions.
  const world = new LoadingFleet();
  await world.fleet.start();
  await world.fleet.clock.advance(6000);
  await world.runSteps(5);
  const before = world.modelChanges;
  for (const [i, host] of [...world.fleet.hosts].entries()) world.fleet.restart(host, `2-${i}`);
  await world.wait(8000);
  t.equal(world.modelChanges, before, 'before any step');
  await world.runSteps(5);
  t.same(world.counts(), [4, 8]);
  t.equal(world.modelChanges, before);
  world.fleet.stop();
});

await tap.test('should return to equal shares 30 s after a model has stopped', async t => {
  const world = new LoadingFleet();
  await world.fleet.start();
  await world.fleet.clock.advance(6000);
  await world.runSteps(5);
  await world.fleet.clock.advance(31_000);
  for (const host of world.fleet.hosts) {
    const [m = 0, n = 0] = sharesAt(host);
    t.ok(Math.abs(m - n) <= 1, `${m} and ${n}`);
  }
  world.fleet.stop();
});
