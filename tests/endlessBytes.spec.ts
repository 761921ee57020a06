/**
 * Bytes of an endpoint without end, over sockets: each way to it ends, and the connection is closed.
 */
import type { Socket } from 'node:net';
import tap from 'tap';
import { Deadline, SystemClock } from '@fuchsiahitch/base';
import { StoreClient } from '@fuchsiahitch/platform';
import { waitUntil } from './connectionFixtures.js';
import { batchItem, call, order, report, request, withWorld, type Way, type World } from './endpointWays.js';
import { validResponse, type WireRequest } from './platformStandIns.js';

const BLOCK_BYTES = 64 * 1024;
const MIB = 1024 * 1024;
/** What the host may read, and what the buffers of both sockets hold. */
const MAX_POURED_BYTES = 32 * MIB;
/** A page of the store may be larger than any answer of an endpoint. */
const MAX_STORE_BYTES = 64 * MIB;
const STORE_TIMEOUT_MS = 10_000;
const SLOW_READ_MS = 20;

const WAYS: Readonly<Record<string, Way>> = { request, item: batchItem, order, report };

/** Writes text without end, as fast as the other side reads it. */
class Pour {
  bytes = 0;
  private readonly _socket: Socket;
  private readonly _block: string;
  private readonly _maxBytes: number;

  constructor(socket: Socket, unit: string, maxBytes = MAX_POURED_BYTES) {
    this._socket = socket;
    this._maxBytes = maxBytes;
    this._block = unit.repeat(Math.ceil(BLOCK_BYTES / unit.length));
  }

  start(): void {
    const write = (): void => {
      while (!this._socket.destroyed && this.bytes <= this._maxBytes) {
        this.bytes += this._block.length;
        if (!this._socket.write(this._block)) break;
      }
    };
    this._socket.on('drain', write);
    write();
  }
}

interface EndlessCase {
  readonly name: string;
  /** Bytes before those without end. */
  readonly begin: (received: WireRequest) => string;
  readonly unit: string;
}

function headOf(received: WireRequest, status: string, lines: readonly string[] = []): string {
  const id = received.headers['request-id'];
  const named = id === undefined ? [] : [`Request-Id: ${id}`];
  return [`HTTP/1.1 ${status}`, ...named, 'Server-Stamp: p', ...lines, '', ''].join('\r\n');
}

const CHUNKED = ['Transfer-Encoding: chunked'] as const;
const CHUNK = `400\r\n${'a'.repeat(0x400)}\r\n`;

const HEADS: readonly EndlessCase[] = [
  { name: 'a status line', begin: () => 'HTTP/1.1 200 ', unit: 'a' },
  { name: 'a header', begin: () => 'HTTP/1.1 200 OK\r\nX: ', unit: 'a' },
  { name: 'headers', begin: () => 'HTTP/1.1 200 OK\r\n', unit: 'X: a\r\n' },
  { name: 'interim responses', begin: () => '', unit: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  { name: 'line ends', begin: () => '', unit: '\r\n' },
  { name: 'a chunk extension', begin: received => `${headOf(received, '200 OK', CHUNKED)}5;x=`, unit: 'a' },
  { name: 'trailers', begin: received => `${headOf(received, '200 OK', CHUNKED)}0\r\n`, unit: 'X: a\r\n' },
];

const BODIES: readonly EndlessCase[] = [
  {
    name: 'the body of a refusal',
    begin: received => headOf(received, '503 Service Unavailable', [...CHUNKED, 'Not-Executed: 1']),
    unit: CHUNK,
  },
  {
    name: 'the body of a refusal without a length',
    begin: received => headOf(received, '421 Misdirected Request'),
    unit: 'a',
  },
];

const FAILURE: EndlessCase = {
  name: 'the body of a failure',
  begin: received => headOf(received, '500 Internal Server Error', CHUNKED),
  unit: CHUNK,
};
const SUCCESS: EndlessCase = {
  name: 'the body of a success',
  begin: received => headOf(received, '200 OK', [...CHUNKED, 'Weight-Versions: 1']),
  unit: CHUNK,
};
const EVENTS: EndlessCase = { ...SUCCESS, name: 'events', unit: 'c\r\ndata: abcd\n\n\r\n' };
const COMMENTS: EndlessCase = { ...SUCCESS, name: 'comments of an event stream', unit: '4\r\n: a\n\r\n' };

const CASES: Readonly<Record<string, readonly EndlessCase[]>> = {
  request: [...HEADS, ...BODIES],
  item: [...HEADS, ...BODIES, FAILURE, SUCCESS, EVENTS, COMMENTS],
  order: [...HEADS, ...BODIES, FAILURE, SUCCESS],
  report: [...HEADS, ...BODIES, FAILURE, SUCCESS],
};

/** Reads what a way left to its sender, as the sender does, up to its own bound. */
async function readAnswer(reply: unknown): Promise<void> {
  const { answer } = (reply ?? {}) as { readonly answer?: { readonly body: AsyncIterable<Buffer> } };
  if (!answer) return;
  let sizeBytes = 0;
  try {
    for await (const part of answer.body) {
      sizeBytes += part.length;
      if (sizeBytes > BLOCK_BYTES) break;
    }
  } catch {
    // The connection was closed.
  }
}

/** Returns how many bytes were written in all. */
async function pourAt(
  { server }: World,
  { begin, unit }: EndlessCase,
  run: () => Promise<unknown>,
): Promise<number> {
  let pour: Pour | undefined;
  server.answer = (received, socket) => {
    socket.write(begin(received));
    pour = new Pour(socket, unit, MAX_STORE_BYTES);
    pour.start();
  };
  await readAnswer(await run());
  await waitUntil(() => server.closed === server.connections);
  return pour?.bytes ?? 0;
}

for (const [name, way] of Object.entries(WAYS))
  await tap.test(
    `should end ${name} at bytes without end`,
    withWorld(async world => {
      // Guards against an attempt, and a connection, that a faulty endpoint keeps busy until some time limit, or for good.
      for (const endless of CASES[name] ?? []) {
        const bytes = await pourAt(world, endless, () => way(world, `r-${endless.name}`));
        world.t.ok(bytes < MAX_POURED_BYTES, `${endless.name}: ${bytes} bytes`);
      }
      world.server.answer = (received, socket) => void socket.write(validResponse(received, '{}'));
      world.t.ok(await way(world, 'r-next'), 'the next one is answered');
    }),
  );

for (const unit of ['\r\n', 'HTTP/1.1 103 Early Hints\r\n\r\n', 'no response'])
  await tap.test(
    `should close an idle connection on which ${JSON.stringify(unit)} comes`,
    withWorld(async ({ t, server, client, endpoint }) => {
      // Guards against reading bytes that follow a whole answer until the connection is reused or its time is over.
      let pour: Pour | undefined;
      server.answer = (received, socket) => {
        const body = JSON.stringify({ seq: 7 });
        socket.write(validResponse(received, body, '200 OK', ['Keep-Alive: timeout=600']));
        setTimeout(() => {
          pour = new Pour(socket, unit);
          pour.start();
        }, 20);
      };
      t.match(await client.report(endpoint, 500), { sequence: 7 });
      await waitUntil(() => server.closed === 1);
      t.ok((pour?.bytes ?? 0) < MAX_POURED_BYTES);
    }),
  );

await tap.test(
  'should end a call to the store at bytes without end',
  withWorld(async world => {
    // Guards against a call that takes the memory of the host, or a connection that stays busy until the call's deadline.
    const { t, endpoint } = world;
    const store = new StoreClient(endpoint.address, () => undefined);
    for (const endless of [...HEADS, FAILURE, SUCCESS]) {
      const deadline = Deadline.after(new SystemClock(), STORE_TIMEOUT_MS);
      const bytes = await pourAt(world, endless, () => store.get('k', deadline));
      t.ok(bytes < MAX_STORE_BYTES, `${endless.name}: ${bytes} bytes`);
      t.notOk(deadline.isOver(), 'before its deadline');
    }
  }),
);

await tap.test(
  'should hold a body without end to its reader, and close it when the reader has left',
  withWorld(async ({ t, server, client, endpoint }) => {
    // Guards against a stream without end that fills the memory of the host while its caller reads slowly, or after it has left.
    let pour: Pour | undefined;
    server.answer = (received, socket) => {
      socket.write(SUCCESS.begin(received));
      pour = new Pour(socket, SUCCESS.unit);
      pour.start();
    };
    const left = new AbortController();
    const reply = await client.send(call(endpoint, 'r-slow'), left.signal);
    if (reply.kind !== 'answered') throw new Error('no answer');
    const reader = reply.answer.body[Symbol.asyncIterator]();
    for (let i = 0; i < 5; i++) {
      await reader.next();
      await new Promise(resolve => setTimeout(resolve, SLOW_READ_MS));
    }
    t.ok((pour?.bytes ?? 0) < MAX_POURED_BYTES, `${pour?.bytes} bytes for five reads`);
    t.equal(server.closed, 0);
    left.abort();
    await t.rejects(async () => {
      for (;;) if ((await reader.next()).done) return;
    });
    await waitUntil(() => server.closed === 1);
  }),
);
