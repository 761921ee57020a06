/**
 * The built edge beside crowds of clients that don't behave. Each crowd stays while the checks are made; the bounds are
 * those of the machine in the process's settings.
 */
import fs from 'node:fs';
import tap from 'tap';
import {
  announced,
  arrived,
  batchOf,
  chunked,
  Client,
  head,
  listOf,
  pipelined,
  submission,
  unfinishedHead,
} from './crowdClients.js';
import { CrowdDaemon } from './crowdDaemon.js';
import {
  buildPrograms,
  CrowdHost,
  MAX_BODY_BYTES,
  MAX_HEAD_BYTES,
  SMALL_MACHINE,
  type Machine,
} from './crowdHost.js';

const KIB = 1024;
const ACCEPTED = 202;
const FAR_OVER = 40 * MAX_BODY_BYTES;
const FEW_DESCRIPTORS: Machine = { ...SMALL_MACHINE, maxDescriptors: 700 };
/** The daemon has a web framework and listeners for callers, trainers and operators. */
const DAEMON_MACHINE: Machine = { memoryMb: 400, maxDescriptors: 700 };

type Parts = Iterable<string | Buffer>;
type Listener = 'port' | 'readyPort' | 'peersPort' | 'metricsPort';

interface Crowd {
  readonly name: string;
  /** The failure that the test guards against. */
  readonly guards: string;
  readonly count: number;
  readonly parts: (index: number) => Parts;
  readonly isUnread?: boolean;
  readonly machine?: Machine;
  readonly listener?: Listener;
}

const ITEM_BODY = 'x'.repeat(300 * KIB);
const SHORT_ITEM = '{"id":"a","path":"/b"}';

const CROWDS: readonly Crowd[] = [
  {
    name: 'whole bodies of full size at once',
    guards: 'the sum of all bodies',
    count: 12,
    parts: () => announced(MAX_BODY_BYTES, MAX_BODY_BYTES),
  },
  {
    name: 'bodies of full size that stop a byte short',
    guards: 'bodies that are held as long as their clients stay',
    count: 24,
    parts: () => announced(MAX_BODY_BYTES, MAX_BODY_BYTES - 1),
  },
  {
    name: 'bodies of full size in pieces that stop a byte short',
    guards: 'bodies that are held as long as their clients stay',
    count: 24,
    parts: () => announced(MAX_BODY_BYTES, MAX_BODY_BYTES - 1, 8 * KIB),
  },
  {
    name: 'bodies that stop short on a path without a route',
    guards: 'bodies read for requests that can be answered at their head',
    count: 24,
    parts: () => announced(MAX_BODY_BYTES, MAX_BODY_BYTES - 1, 64 * KIB, '/none/x'),
  },
  {
    name: 'bodies of 1 MB that stop a byte short',
    guards: 'the sum of many middling bodies',
    count: 400,
    parts: () => announced(1_000_000, 999_999, 64 * KIB),
  },
  {
    name: 'bodies of 100 KB that stop a byte short',
    guards: 'the sum of very many small bodies',
    count: 3000,
    parts: () => announced(100_000, 99_999),
  },
  {
    name: 'bodies in chunks of 64 KB that stop short',
    guards: 'the sum of bodies of unknown length',
    count: 24,
    parts: () => chunked(64 * KIB, MAX_BODY_BYTES / (64 * KIB) - 1),
  },
  {
    name: 'bodies in chunks of a byte that stop short',
    guards: 'a cost of each chunk that is hundreds of times its size',
    count: 24,
    parts: () => chunked(1, 500_000, 2000),
  },
  {
    name: 'many bodies in chunks of a byte that stop short',
    guards: 'a cost of each chunk that is hundreds of times its size',
    count: 600,
    parts: () => chunked(1, 20_000, 2000),
  },
  {
    name: 'bodies announced far over the limit',
    guards: 'bodies read though their announced length is over the limit',
    count: 24,
    parts: () => announced(FAR_OVER, 2 * MAX_BODY_BYTES, MAX_BODY_BYTES),
  },
  {
    name: 'bodies sent far over the limit in chunks',
    guards: 'the sum of bodies up to the limit that are refused then',
    count: 24,
    parts: () => chunked(64 * KIB, 1024),
  },
  {
    name: 'unfinished heads far over the limit',
    guards: 'heads that the parser holds beyond the configured limit',
    count: 1500,
    parts: () => unfinishedHead(240_000, `x: ${'y'.repeat(997)}\r\n`),
  },
  {
    name: 'unfinished heads of many short headers',
    guards: 'headers whose objects are many times their size',
    count: 1500,
    parts: () => unfinishedHead(MAX_HEAD_BYTES - 100, 'a: b\r\n'),
  },
  {
    name: 'more connections than descriptors, of one byte each',
    guards: 'connections without a bound',
    count: 900,
    parts: () => ['P'],
    machine: FEW_DESCRIPTORS,
  },
  {
    name: 'more connections than descriptors, which are silent',
    guards: 'connections without a bound',
    count: 900,
    parts: () => [],
    machine: FEW_DESCRIPTORS,
  },
  {
    name: 'pipelined requests whose answers nobody reads',
    guards: 'requests in process without a bound',
    count: 200,
    parts: () => pipelined(100, '/a/x'),
    isUnread: true,
  },
  {
    name: 'answers of 1 MB that nobody reads',
    guards: 'answers that are held as long as their clients stay',
    count: 300,
    parts: () => [head('Content-Length: 0', '/a/large')],
    isUnread: true,
  },
  {
    name: 'answers of 8 MB that nobody reads',
    guards: 'answers that are held as long as their clients stay',
    count: 40,
    parts: () => [head('Content-Length: 0', '/a/huge')],
    isUnread: true,
  },
  {
    name: 'streams of 8 MB that nobody reads',
    guards: 'streams that are held as long as their clients stay',
    count: 300,
    parts: () => [head('Content-Length: 0', '/s/x')],
    isUnread: true,
  },
  {
    name: 'a batch of a million items',
    guards: 'objects of a parser that are many times its input',
    count: 1,
    parts: () => submission(listOf(SHORT_ITEM)),
  },
  {
    name: 'a batch of nested brackets',
    guards: 'objects of a parser that are many times its input',
    count: 1,
    parts: () => submission(`{"items":${'['.repeat(MAX_BODY_BYTES - 2 * KIB)}`),
  },
  {
    name: 'a batch of some large items',
    guards: 'copies of one body in its decoding',
    count: 1,
    parts: () => submission(listOf(`{"id":"a","path":"/b","body":"${ITEM_BODY}"}`)),
  },
  {
    name: 'connections at the readiness listener',
    guards: 'a listener without a bound on its connections',
    count: 900,
    parts: () => ['G'],
    machine: FEW_DESCRIPTORS,
    listener: 'readyPort',
  },
  {
    name: 'bodies that stop short at the readiness listener',
    guards: 'a listener that reads what it does not need',
    count: 24,
    parts: () => announced(MAX_BODY_BYTES, MAX_BODY_BYTES - 1, 64 * KIB),
    listener: 'readyPort',
  },
  {
    name: 'bodies that stop short at the metrics listener',
    guards: 'a listener that reads what it does not need',
    count: 200,
    parts: () => announced(4_000_000, 3_999_999, 64 * KIB, '/metrics'),
    listener: 'metricsPort',
  },
  {
    name: 'connections at the listener for other hosts',
    guards: 'a listener without a bound on its connections',
    count: 900,
    parts: () => [Buffer.from([0, 0, 1])],
    machine: FEW_DESCRIPTORS,
    listener: 'peersPort',
  },
];

/** With `CROWD=text`, only the crowds whose name has the text. */
function isSelected({ name }: Pick<Crowd, 'name'>): boolean {
  return name.includes(process.env.CROWD ?? '');
}

const programs = await buildPrograms();
tap.teardown(() => fs.rmSync(programs, { recursive: true, force: true }));

function gather(crowd: Crowd, host: CrowdHost): readonly Client[] {
  const port = host.edge[crowd.listener ?? 'port'];
  return Array.from(
    { length: crowd.count },
    (_, index) => new Client(port, crowd.parts(index), crowd.isUnread),
  );
}

for (const crowd of CROWDS.filter(isSelected))
  await tap.test(`should live beside ${crowd.name}`, { timeout: 240_000 }, async t => {
    const machine = crowd.machine ?? SMALL_MACHINE;
    const host = new CrowdHost(machine);
    await host.start(programs);
    const clients = gather(crowd, host);
    await arrived(clients, host);
    const beside = await host.ordinaryRequest();
    for (const client of clients) client.leave();
    const after = await host.ordinaryRequest();
    const full = await host.ordinaryRequest(Buffer.alloc(MAX_BODY_BYTES, 'x'));
    const { memoryMb, descriptors } = host.peaks;
    t.comment(`${crowd.guards}: ${memoryMb.toFixed(0)} MB, ${descriptors} descriptors`);
    t.ok(host.isAlive(), 'the process lives');
    t.ok(memoryMb <= machine.memoryMb, `memory: ${memoryMb.toFixed(0)} of ${machine.memoryMb} MB`);
    t.ok(descriptors <= machine.maxDescriptors, `descriptors: ${descriptors} of ${machine.maxDescriptors}`);
    t.equal(beside, 200, 'an ordinary request beside the crowd');
    t.equal(after, 200, 'an ordinary request after the crowd');
    t.equal(full, 200, 'a request of full size in calm');
    await host.close();
  });

/** For `CROWD`. */
const LAST_CROWD = { name: 'bodies at SIGTERM that stop short' };

if (isSelected(LAST_CROWD))
  await tap.test('should end within the grace period beside bodies that stop short', async t => {
    // Guards against connections with half a request that keep a process alive until it is killed.
    const host = new CrowdHost(SMALL_MACHINE);
    await host.start(programs);
    const clients = Array.from({ length: 8 }, () => new Client(host.edge.port, announced(100_000, 99_999)));
    await arrived(clients, host);
    t.equal(await host.terminate(), 0, 'it ends by itself');
    for (const client of clients) client.leave();
    await host.close();
  });

/** For `CROWD`. */
const BATCHES_CROWD = { name: 'accepted batches' };
const BATCHES = 40;

if (isSelected(BATCHES_CROWD))
  await tap.test('should live beside accepted batches that do not end', { timeout: 240_000 }, async t => {
    // Guards against batches of legal size that are each held until they end.
    const host = new CrowdHost(SMALL_MACHINE);
    await host.start(programs);
    let accepted = 0;
    for (let i = 0; i < BATCHES && host.isAlive(); i++)
      if ((await host.submit(batchOf(13, 300 * KIB))) === ACCEPTED) accepted += 1;
    const beside = await host.ordinaryRequest();
    const { memoryMb } = host.peaks;
    t.comment(`${accepted} accepted, ${memoryMb.toFixed(0)} MB`);
    t.ok(host.isAlive(), 'the process lives');
    t.ok(memoryMb <= SMALL_MACHINE.memoryMb, `memory: ${memoryMb.toFixed(0)} MB`);
    t.ok(accepted > 0, 'batches are accepted');
    t.equal(beside, 200, 'an ordinary request beside them');
    await host.close();
  });

const DAEMON_CROWDS: readonly (Pick<Crowd, 'name' | 'guards' | 'count' | 'parts' | 'isUnread'> & {
  readonly listener: 'callersPort' | 'trainersPort';
})[] = [
  {
    name: 'bodies of callers that stop a byte short',
    guards: 'the sum of bodies that are each within the limit',
    count: 200,
    parts: () => announced(4_000_000, 3_999_999, 64 * KIB, '/svc/none/x'),
    listener: 'callersPort',
  },
  {
    name: 'bodies of trainers that stop a byte short',
    guards: 'the sum of bodies that are each within the limit',
    count: 200,
    parts: () => announced(4_000_000, 3_999_999, 64 * KIB, '/v1/steps'),
    listener: 'trainersPort',
  },
  {
    name: 'pipelined requests of callers whose answers nobody reads',
    guards: 'requests in process without a bound',
    count: 200,
    parts: () => pipelined(100, '/svc/none/x'),
    isUnread: true,
    listener: 'callersPort',
  },
  {
    name: 'more connections of callers than descriptors',
    guards: 'connections without a bound',
    count: 900,
    parts: () => ['P'],
    listener: 'callersPort',
  },
];

for (const crowd of DAEMON_CROWDS.filter(isSelected))
  await tap.test(`should let the daemon live beside ${crowd.name}`, { timeout: 240_000 }, async t => {
    const daemon = new CrowdDaemon(DAEMON_MACHINE);
    await daemon.start();
    const clients = Array.from(
      { length: crowd.count },
      (_, index) => new Client(daemon[crowd.listener], crowd.parts(index), crowd.isUnread),
    );
    await arrived(clients, daemon);
    const beside = await daemon.ordinaryRequest();
    for (const client of clients) client.leave();
    const after = await daemon.ordinaryRequest();
    const { memoryMb, descriptors } = daemon.peaks;
    t.comment(`${crowd.guards}: ${memoryMb.toFixed(0)} MB, ${descriptors} descriptors`);
    t.ok(daemon.isAlive(), 'the process lives');
    t.ok(memoryMb <= DAEMON_MACHINE.memoryMb, `memory: ${memoryMb.toFixed(0)} MB`);
    t.ok(descriptors <= DAEMON_MACHINE.maxDescriptors, `descriptors: ${descriptors}`);
    t.not(beside, 0, 'an ordinary request beside the crowd is answered');
    t.not(after, 0, 'an ordinary request after the crowd is answered');
    await daemon.close();
  });
