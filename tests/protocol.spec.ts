/**
 * The peer protocol: typed calls between hosts that authenticate with the fleet key.
 */
import net from 'node:net';
import fc from 'fast-check';
import tap from 'tap';
import { Deadline, SystemClock } from '@fuchsiahitch/base';
import {
  calls,
  defineCall,
  encodeFrame,
  FrameReader,
  PeerLink,
  PeerServer,
  type PeerIdentity,
} from '@fuchsiahitch/protocol';
import * as z from 'zod';
import { fuzzRuns } from './fuzzRuns.js';
import { eventually } from '@fuchsiahitch/testkit';

const KEY = 'fleet-key-for-tests';
const clock = new SystemClock();
const identity = (hostId: string): PeerIdentity => ({
  hostId,
  incarnation: '1',
  domain: 'tekapo',
  programVersion: '0',
});
const echo = defineCall('echo', z.strictObject({ text: z.string() }), z.strictObject({ text: z.string() }));
const neverAnswered = defineCall('never', z.strictObject({}), z.strictObject({}));

class Counters {
  readonly refusals: string[] = [];
  refused(reason: string): void {
    this.refusals.push(reason);
  }
  sent(): void {
    // Not counted.
  }
  received(): void {
    // Not counted.
  }
}

async function startPair(
  clientKey = KEY,
): Promise<{ server: PeerServer; link: PeerLink; counters: Counters; address: string }> {
  const counters = new Counters();
  const server = new PeerServer({
    address: '127.0.0.1:0',
    fleetKey: KEY,
    identity: identity('a'),
    clock,
    counters,
  });
  server.handle(echo, ({ text }) => ({ text }));
  server.handle(neverAnswered, async () => new Promise(() => undefined));
  const address = await server.listen();
  const link = new PeerLink({
    address,
    fleetKey: clientKey,
    identity: identity('b'),
    clock,
    counters: new Counters(),
  });
  return { server, link, counters, address };
}

await tap.test('should answer a call', async t => {
  const { server, link } = await startPair();
  t.same(await link.call(echo, { text: 'x'.repeat(100_000) }, Deadline.after(clock, 5000)), {
    ok: true,
    value: { text: 'x'.repeat(100_000) },
  });
  link.close();
  await server.close();
});

await tap.test('should classify failed calls', async t => {
  const { server, link } = await startPair();
  t.match(await link.call(neverAnswered, {}, Deadline.after(clock, 50)), {
    ok: false,
    error: { kind: 'timed-out' },
  });
  t.match(await link.call(calls.slotMapPull, {}, Deadline.after(clock, 1000)), {
    ok: false,
    error: { kind: 'refused' },
  });
  const bad = { text: 5 } as unknown as { text: string };
  t.match(await link.call(echo, bad, Deadline.after(clock, 1000)), { ok: false, error: { kind: 'refused' } });
  const pending = link.call(neverAnswered, {}, Deadline.after(clock, 5000));
  await link.call(echo, { text: 'order' }, Deadline.after(clock, 1000));
  await server.close();
  t.match(await pending, { ok: false, error: { kind: 'broken' } });
  t.match(await link.call(echo, { text: '' }, Deadline.after(clock, 1000)), {
    ok: false,
    error: { kind: 'not-sent' },
  });
  link.close();
});

await tap.test('should reject a peer without the fleet key', async t => {
  const { server, link, counters } = await startPair('another-fleet-key');
  t.match(await link.call(echo, { text: 'x' }, Deadline.after(clock, 2000)), {
    ok: false,
    error: { kind: 'not-sent' },
  });
  t.same(counters.refusals, ['wrong-key']);
  link.close();
  await server.close();
});

/** Sends raw bytes and waits until the server closes the connection. */
async function sendRaw(address: string, bytes: Buffer): Promise<void> {
  const [ip = '', port = '0'] = address.split(':');
  await new Promise<void>(resolve => {
    const socket = net.connect({ host: ip, port: Number(port) }, () => socket.write(bytes));
    socket.resume();
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
  });
}

await tap.test(
  'should close connections with oversized or malformed frames and serve the others',
  async t => {
    const { server, link, counters, address } = await startPair();
    const huge = Buffer.alloc(8);
    huge.writeUInt32BE(0x7fffffff, 0);
    await sendRaw(address, huge);
    await sendRaw(address, encodeFrame({ hello: 1 }));
    await sendRaw(address, Buffer.from([0, 0, 0, 2, 0xff, 0xff]));
    t.same(counters.refusals, ['frame-too-large', 'bad-hello', 'malformed-frame']);
    t.match(await link.call(echo, { text: 'still here' }, Deadline.after(clock, 5000)), { ok: true });
    link.close();
    await server.close();
  },
);

await tap.test('should survive arbitrary bytes from unauthenticated clients', { timeout: 0 }, async t => {
  const { server, link, address } = await startPair();
  const sockets = new Set<net.Socket>();
  const [ip = '', port = '0'] = address.split(':');
  await fc.assert(
    fc.asyncProperty(fc.uint8Array({ maxLength: 300 }), async bytes => {
      const socket = net.connect({ host: ip, port: Number(port) });
      sockets.add(socket);
      socket.on('error', () => undefined);
      await new Promise<void>(resolve => socket.write(Buffer.from(bytes), () => resolve()));
    }),
    fuzzRuns(60),
  );
  t.match(await link.call(echo, { text: 'still here' }, Deadline.after(clock, 5000)), { ok: true });
  for (const socket of sockets) socket.destroy();
  link.close();
  await server.close();
});

await tap.test('should reassemble frames from chunks of any size', t => {
  const value = fc.record({
    text: fc.string(),
    list: fc.array(fc.integer()),
    deep: fc.record({ flag: fc.boolean() }),
  });
  fc.assert(
    fc.property(
      fc.array(value, { minLength: 1, maxLength: 5 }),
      fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
      (values, sizes) => {
        const bytes = Buffer.concat(values.map(encodeFrame));
        const reader = new FrameReader(1 << 20);
        const read: unknown[] = [];
        for (let at = 0, i = 0; at < bytes.length; i++) {
          const size = sizes[i % sizes.length] ?? 1;
          reader.push(bytes.subarray(at, at + size));
          at += size;
          for (let frame = reader.next(); frame.ok && frame.value; frame = reader.next())
            read.push(frame.value.value);
        }
        return JSON.stringify(read) === JSON.stringify(values);
      },
    ),
    fuzzRuns(200),
  );
  t.end();
});

await tap.test('should never throw on a frame of random bytes', t => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
      const reader = new FrameReader(1000);
      const length = Buffer.alloc(4);
      length.writeUInt32BE(bytes.length, 0);
      reader.push(Buffer.concat([length, Buffer.from(bytes)]));
      const frame = reader.next();
      return frame.ok || frame.error.kind === 'malformed-frame';
    }),
    fuzzRuns(500),
  );
  t.end();
});

await tap.test('should use no worker thread and no io_uring', async t => {
  // Neither is available on the hosts, but logging and tracing libraries often start worker threads.
  const resources = process.getActiveResourcesInfo();
  t.notOk(resources.includes('Worker'));
  t.equal(process.env.UV_USE_IO_URING ?? '0', '0');
  await eventually('nothing', () => true);
});

await tap.test('should replace an unresponsive connection by a new one', async t => {
  // Guards against reusing a connection that stopped responding without a reset: every later call would time out.
  const { server, address, counters } = await startPair();
  let isUnresponsive = false;
  const sockets: net.Socket[] = [];
  const proxy = net.createServer(socket => {
    const [ip = '', port = ''] = address.split(':');
    const upstream = net.connect({ host: ip, port: Number(port) });
    const isBlackholed = (): boolean => isUnresponsive && sockets.indexOf(socket) === 0;
    sockets.push(socket);
    socket.on('data', chunk => isBlackholed() || upstream.write(chunk));
    upstream.on('data', chunk => isBlackholed() || socket.write(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => upstream.destroy());
    upstream.on('error', () => upstream.destroy());
  });
  await new Promise<void>(resolve => proxy.listen(0, '127.0.0.1', resolve));
  const bound = proxy.address();
  const port = typeof bound === 'object' && bound ? bound.port : 0;
  const proxiedLink = new PeerLink({
    address: `127.0.0.1:${port}`,
    fleetKey: KEY,
    identity: identity('b'),
    clock,
    counters,
  });
  t.ok((await proxiedLink.call(echo, { text: 'one' }, Deadline.after(clock, 2000))).ok);
  isUnresponsive = true;
  const lost = await proxiedLink.call(echo, { text: 'two' }, Deadline.after(clock, 100));
  t.ok(!lost.ok && lost.error.kind === 'timed-out');
  await eventually('a new connection answers', async () => {
    const reply = await proxiedLink.call(echo, { text: 'three' }, Deadline.after(clock, 500));
    return reply.ok;
  });
  t.equal(sockets.length, 2);
  proxiedLink.close();
  proxy.close();
  await server.close();
});
