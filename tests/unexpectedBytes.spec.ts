/**
 * Bytes of an endpoint that an HTTP client doesn't expect, over sockets.
 */
import tap from 'tap';
import { settle } from './connectionFixtures.js';
import { batchItem, order, report, request, withWorld, type Way, type World } from './endpointWays.js';
import { chunk, LAST_CHUNK, streamHead, validResponse, type WireRequest } from './platformStandIns.js';
import { bytesAheadOf, INTERIM_HEADS, INVALID_BYTES } from './unexpectedBytes.js';

const EVENT = 'id: 1\ndata: a\n\n';

interface NamedWay {
  readonly way: Way;
  /** What its sender concludes from `answer`. */
  readonly success: unknown;
  readonly answer: (received: WireRequest) => string;
}

const WAYS: Readonly<Record<string, NamedWay>> = {
  request: {
    way: request,
    success: { kind: 'answered', answer: { status: 200 } },
    answer: received => validResponse(received, 'whole'),
  },
  item: {
    way: batchItem,
    success: { kind: 'done' },
    answer: received => streamHead(received, 2) + chunk(EVENT) + LAST_CHUNK,
  },
  order: { way: order, success: 'accepted', answer: received => validResponse(received, '', '202 Accepted') },
  report: {
    way: report,
    success: { sequence: 7 },
    answer: received => validResponse(received, JSON.stringify({ seq: 7 })),
  },
};

/** Uses a connection, then gets `bytes` ahead of the response on it, then sends once more. */
async function sendAround({ server }: World, bytes: string, send: () => Promise<unknown>, named: NamedWay) {
  const answer = named.answer;
  server.answer = (received, socket) => void socket.write(answer(received));
  await send();
  await settle();
  server.answer = (received, socket) => void socket.write(bytesAheadOf(received, bytes) + answer(received));
  const spoiled = await send();
  server.answer = (received, socket) => void socket.write(answer(received));
  return { spoiled, next: await send() };
}

for (const [name, named] of Object.entries(WAYS)) {
  await tap.test(
    `should skip interim responses before the answer of ${name}`,
    withWorld(async world => {
      // Guards against an assertion of the HTTP client, which allows one start of a response only.
      for (const head of INTERIM_HEADS)
        for (const count of [1, 3]) {
          const send = async (): Promise<unknown> => named.way(world, `r-${String(Math.random())}`);
          const { spoiled, next } = await sendAround(world, head.repeat(count), send, named);
          world.t.match([spoiled, next], [named.success, named.success], `${count} of ${head}`);
        }
    }),
  );

  await tap.test(
    `should fail only the attempt of ${name} that gets invalid bytes`,
    withWorld(async world => {
      // Guards against an exception in the HTTP client that ends the process, or a connection that stays out of step.
      for (const bytes of INVALID_BYTES) {
        const send = async (): Promise<unknown> => named.way(world, `r-${String(Math.random())}`);
        const { spoiled, next } = await sendAround(world, bytes, send, named);
        world.t.notMatch(spoiled, named.success, JSON.stringify(bytes));
        world.t.match(next, named.success, 'the next one is answered');
      }
    }),
  );
}
