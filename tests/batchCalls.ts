/**
 * A batch of three items at several hosts, for tests of complete services.
 */
import { Deadline } from '@fuchsiahitch/base';
import { GatewayWorld, type GatewayHost } from './gatewayHosts.js';
import { batch, item } from './gatewayFixtures.js';

export const BATCH = batch('b1', [item('x'), item('y'), item('z', { group: 'g2' })]);

export async function startHosts(...hostIds: readonly string[]): Promise<[GatewayWorld, ...GatewayHost[]]> {
  const world = new GatewayWorld();
  const hosts = hostIds.map(id => world.start(id));
  await world.clock.advance(200);
  return [world, ...hosts];
}

export function submit(world: GatewayWorld, host: GatewayHost, waitMs = 1000): Promise<string> {
  const outcome = host.batches.submit(BATCH, Deadline.after(world.clock, waitMs));
  return world.until(outcome.then(result => result.kind));
}

export function read(
  world: GatewayWorld,
  host: GatewayHost,
  after = 0,
  waitMs = 1000,
): ReturnType<GatewayHost['batches']['read']> {
  return world.until(host.batches.read('b1', after, waitMs));
}
