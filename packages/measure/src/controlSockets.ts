/**
 * Control-plane traffic of idle hosts over real sockets: CPU time, bytes and heap per host.
 *
 * All hosts and stand-ins share this process, so CPU time per host is an upper bound.
 */
import { TestFleet } from '@fuchsiahitch/testkit';
import type { Measurement } from './figure.js';

const SIZES = [3, 9, 18];
const SETTLE_MS = 20_000;
const MEASURE_MS = 15_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const MS_PER_SECOND = 1000;

export const controlSockets: Measurement = {
  name: 'sockets',
  description:
    'control plane of 3, 9 and 18 idle hosts over real sockets: CPU, peer protocol bytes and heap per host',
  async run(print) {
    for (const hosts of SIZES) {
      globalThis.gc?.();
      const heapBefore = process.memoryUsage().heapUsed;
      const fleet = await TestFleet.start({
        domains: ['d0'],
        hostsPerDomain: hosts,
        enginesPerDomain: 4,
        servicesPerDomain: 1,
      });
      await pause(SETTLE_MS);
      const bytesBefore = await peerBytes(fleet);
      const cpu = process.cpuUsage();
      await pause(MEASURE_MS);
      const cpuUsed = process.cpuUsage(cpu);
      const seconds = MEASURE_MS / MS_PER_SECOND;
      const coreShare = (cpuUsed.user + cpuUsed.system) / MICROSECONDS_PER_SECOND / seconds / hosts;
      print({
        figure: `control CPU per host, ${hosts} hosts over real sockets`,
        value: coreShare * 100,
        unit: '% of a core',
        bound: '<= 3.8',
      });
      const bytes = ((await peerBytes(fleet)) - bytesBefore) / seconds / hosts;
      print({
        figure: `peer protocol bytes per host and second, ${hosts} hosts over real sockets`,
        value: bytes,
        unit: 'bytes/s',
      });
      globalThis.gc?.();
      const heap = (process.memoryUsage().heapUsed - heapBefore) / hosts / 1024 / 1024;
      print({
        figure: `heap per host with its listeners, ${hosts} hosts over real sockets`,
        value: heap,
        unit: 'MB',
      });
      await fleet.stop();
    }
  },
};

async function peerBytes(fleet: TestFleet): Promise<number> {
  let sum = 0;
  for (const id of fleet.hosts.keys()) {
    const { text } = await fleet.call(id, 'operators', '/metrics');
    for (const match of text.matchAll(/^fuchsiahitch_peer_bytes_total\{[^}]*\} (\d+)/gm))
      sum += Number(match[1]);
  }
  return sum;
}

async function pause(durationMs: number): Promise<void> {
  await new Promise<void>(resolve => setTimeout(resolve, durationMs));
}
