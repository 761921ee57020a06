/**
 * Control-plane traffic at the target sizes: the real services of each host on a simulated network and a virtual clock.
 *
 * CPU time includes the simulation, so it is an upper bound. The measurement `sockets` uses real sockets.
 */
import { SimFleet } from '@fuchsiahitch/testkit';
import type { Figure, Measurement } from './figure.js';
import { pollBytes } from './pollBytes.js';

interface Size {
  readonly domains: number;
  readonly hostsPerDomain: number;
  readonly enginesPerDomain: number;
}

/** 9, 33, 110 and 330 hosts; the last with 1,300 engines. */
const SIZES: readonly Size[] = [
  { domains: 3, hostsPerDomain: 3, enginesPerDomain: 3 },
  { domains: 3, hostsPerDomain: 11, enginesPerDomain: 43 },
  { domains: 10, hostsPerDomain: 11, enginesPerDomain: 43 },
  { domains: 10, hostsPerDomain: 33, enginesPerDomain: 130 },
];
const IDLE_MS = 30_000;
/** Time until pings no longer carry the announcements of the fleet's start. */
const SETTLE_MS = 90_000;
const EDITS = 5;
const STEP_MS = 20;
const EDIT_LIMIT_MS = 30_000;
const SEED = 42;
const MS_PER_SECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;

export const controlSim: Measurement = {
  name: 'control',
  description:
    'control plane of 9, 33, 110 and 330 hosts on a virtual clock: rule edits, weights, bytes, store calls, CPU, heap',
  async run(print) {
    const bytesPerPoll = await pollBytes();
    print({ figure: 'load report over HTTP, request and response', value: bytesPerPoll, unit: 'bytes' });
    for (const size of SIZES) await measureSize(size, bytesPerPoll, print);
  },
};

async function measureSize(size: Size, bytesPerPoll: number, print: (figure: Figure) => void): Promise<void> {
  const hostCount = size.domains * size.hostsPerDomain;
  const isTarget = hostCount === 330;
  const reportFigure = (name: string, value: number, unit: string, bound?: string): void =>
    print({
      figure: `${name}, ${hostCount} hosts`,
      value,
      unit,
      ...(bound !== undefined && isTarget ? { bound } : {}),
    });
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const fleet = await SimFleet.start({
    seed: SEED,
    domains: Array.from({ length: size.domains }, (_, i) => `d${i}`),
    hostsPerDomain: size.hostsPerDomain,
    enginesPerDomain: size.enginesPerDomain,
    countsBytes: true,
  });
  await fleet.clock.advance(SETTLE_MS);
  await measureIdle(fleet, hostCount, bytesPerPoll, reportFigure);
  globalThis.gc?.();
  reportFigure(
    'control plane heap per host',
    (process.memoryUsage().heapUsed - heapBefore) / hostCount / 1024 / 1024,
    'MB',
    '<= 32',
  );
  await measureEdits(fleet, reportFigure);
  await measureWeights(fleet, reportFigure);
  await fleet.stop();
}

type ReportFigure = (name: string, value: number, unit: string, bound?: string) => void;

async function measureIdle(
  fleet: SimFleet,
  hostCount: number,
  bytesPerPoll: number,
  reportFigure: ReportFigure,
): Promise<void> {
  const hosts = [...fleet.hosts.values()];
  const before = hosts.map(host => host.peerBytes);
  const callsBefore = fleet.store.calls;
  const reportsBefore = fleet.loadReportCalls;
  const cpu = process.cpuUsage();
  await fleet.clock.advance(IDLE_MS);
  const cpuUsed = process.cpuUsage(cpu);
  const seconds = IDLE_MS / MS_PER_SECOND;
  const peerByteRates = hosts.map((host, i) => (host.peerBytes - (before[i] ?? 0)) / seconds);
  const pollByteRate = ((fleet.loadReportCalls - reportsBefore) * bytesPerPoll) / hostCount / seconds;
  reportFigure(
    'control bytes per host and second, mean',
    mean(peerByteRates) + pollByteRate,
    'bytes/s',
    '<= 2048',
  );
  reportFigure('peer protocol bytes per host and second, maximum', Math.max(...peerByteRates), 'bytes/s');
  reportFigure('store calls of all hosts', (fleet.store.calls - callsBefore) / seconds, 'calls/s', '<= 600');
  const coreShare = (cpuUsed.user + cpuUsed.system) / MICROSECONDS_PER_SECOND / hostCount / seconds;
  reportFigure('control CPU per host, simulation included', coreShare * 100, '% of a core', '<= 3.8');
}

async function measureEdits(fleet: SimFleet, reportFigure: ReportFigure): Promise<void> {
  const hosts = fleet.liveHosts();
  const propagationTimesMs: number[] = [];
  for (let i = 0; i < EDITS; i++) {
    const host = hosts[(i * 7) % hosts.length];
    const rule = {
      id: `rule-${i}`,
      team: 'measure',
      when: { caller: [`caller-${i}`] },
      then: { retries: 1 },
    };
    const startMs = fleet.clock.nowMs();
    void host?.ready.rules.submit({ id: `measured-${i}`, team: 'measure', operation: { op: 'add', rule } });
    while (
      !hosts.every(one => one.ready.rules.revision() > i) &&
      fleet.clock.nowMs() - startMs < EDIT_LIMIT_MS
    ) {
      await fleet.clock.advance(STEP_MS);
    }
    propagationTimesMs.push(fleet.clock.nowMs() - startMs);
  }
  propagationTimesMs.sort((a, b) => a - b);
  reportFigure(
    'rule edit applied on all hosts, p50',
    (propagationTimesMs[Math.floor(EDITS / 2)] ?? 0) / MS_PER_SECOND,
    's',
  );
  reportFigure(
    'rule edit applied on all hosts, maximum',
    Math.max(...propagationTimesMs) / MS_PER_SECOND,
    's',
    '<= 11',
  );
}

async function measureWeights(fleet: SimFleet, reportFigure: ReportFigure): Promise<void> {
  await fleet.clock.advance(IDLE_MS);
  const startMs = fleet.clock.nowMs();
  void fleet.liveHosts()[0]?.ready.orders.setTarget('gen-pool', 2);
  const engines = [...fleet.engines.values()];
  while (!engines.every(engine => engine.version === 2) && fleet.clock.nowMs() - startMs < EDIT_LIMIT_MS) {
    await fleet.clock.advance(STEP_MS);
  }
  reportFigure(
    'weights loaded on all engines',
    (fleet.clock.nowMs() - startMs) / MS_PER_SECOND,
    's',
    '<= 10',
  );
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
