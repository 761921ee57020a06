/**
 * Restoring a pool's capacity with complete hosts: planned changes, and the items that wait meanwhile.
 */
import tap from 'tap';
import { KeepCapacity, RestoreCapacity, type CapacityPolicy } from '@fuchsiahitch/capacity';
import { deploy, holderOf, reclaimAll, baseOf } from './restoreCapacityFixtures.js';

await tap.test('should follow a planned scale-in without undoing it', async t => {
  // A successor learns from the record which endpoints were withdrawn.
  for (const isHolderKilled of [false, true]) {
    const { fleet, platform } = await deploy();
    platform.execute({ pool: 'gen-pool', domain: 'domain-1', count: 3 });
    await fleet.clock.advance(5000);
    if (isHolderKilled) holderOf(fleet).kill();
    await fleet.clock.advance(70_000);
    t.same(fleet.duties.arrivals, []);
    t.same([...platform.targets.values()], [7, 3, 7]);
    t.equal(platform.serving(), 29);
    t.match(baseOf(fleet), { 'domain-1': { regular: 3 } });
    fleet.stop();
  }
});

const SLOTS = 8;
const STEP_MS = 50;
/** Four trainers with 14 groups of 8 items each, every 4 s. */
const ITEMS_PER_STEP = 448;
const STEP_INTERVAL_MS = 4000;
/** 20 events of 65 ms, and the prompt. */
const ITEM_MS = 1700;
const OBSERVED_MS = 60_000;

interface Waits {
  readonly p50: number;
  readonly p90: number;
  readonly max: number;
}

/** Waits of items for a first slot in a queue that all endpoints share, after a third of the pool is reclaimed. */
async function waitsAfterReclaim(policy: CapacityPolicy): Promise<Waits> {
  const deployment = await deploy(policy);
  const { fleet, platform } = deployment;
  reclaimAll(deployment);
  fleet.clock.after(9000, () => fleet.duties.soldOutDomains.delete('domain-2'));
  const waits: number[] = [];
  const queue: number[] = [];
  let running: number[] = [];
  for (let nowMs = 0; nowMs < OBSERVED_MS; nowMs += STEP_MS) {
    if (nowMs % STEP_INTERVAL_MS === 0) for (let i = 0; i < ITEMS_PER_STEP; i++) queue.push(nowMs);
    running = running.filter(endMs => endMs > nowMs);
    const free = Math.max(0, platform.serving() * SLOTS - running.length);
    for (const atMs of queue.splice(0, free)) {
      waits.push(nowMs - atMs);
      running.push(nowMs + ITEM_MS);
    }
    await fleet.clock.advance(STEP_MS);
  }
  for (const atMs of queue) waits.push(OBSERVED_MS - atMs);
  fleet.stop();
  waits.sort((a, b) => a - b);
  const at = (part: number): number => waits[Math.ceil(waits.length * part) - 1] ?? 0;
  return { p50: at(0.5), p90: at(0.9), max: at(1) };
}

await tap.test('should keep items from waiting after a third of the pool was reclaimed', async t => {
  const keep = await waitsAfterReclaim(new KeepCapacity());
  const restore = await waitsAfterReclaim(new RestoreCapacity());
  t.comment(`wait for a first slot in ms: keep ${JSON.stringify(keep)}, restore ${JSON.stringify(restore)}`);
  t.ok(restore.p90 < keep.p90 / 2);
  t.ok(restore.max < keep.max);
});
