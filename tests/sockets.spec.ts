/**
 * Behaviour that needs real sockets: resets of reused connections, slow readers, bad input, shutdown under load.
 */
import net from 'node:net';
import tap from 'tap';
import { endpointAgent, HttpEngineClient, HttpServiceClient, isNotSentError } from '@fuchsiahitch/clients';
import { eventually, TestFleet } from '@fuchsiahitch/testkit';

tap.setTimeout(0);

/** A raw HTTP server. `answer` is called with the number of each request and its socket. */
async function rawServer(
  answer: (run: number, socket: net.Socket) => void,
): Promise<{ url: string; runs: () => number; close: () => void }> {
  let runs = 0;
  const sockets = new Set<net.Socket>();
  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      if (!chunk.toString('latin1').includes('HTTP/1.1')) return;
      runs += 1;
      answer(runs, socket);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const bound = server.address();
  const port = typeof bound === 'object' && bound ? bound.port : 0;
  const close = (): void => {
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  return { url: `http://127.0.0.1:${port}`, runs: () => runs, close };
}

const OK_ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: keep-alive\r\n\r\nok';

await tap.test(
  'should not resend a request when a reused connection is reset after it was written',
  async t => {
    // Guards against implicit retries in the HTTP library: the server ran the request before the reset, so a resend
    // would run it twice.
    const server = await rawServer((run, socket) => {
      if (run === 1) socket.write(OK_ANSWER);
      else socket.resetAndDestroy();
    });
    const client = new HttpServiceClient(endpointAgent());
    const call = { url: server.url, method: 'POST', path: '/holds', headers: {}, body: Buffer.from('{}') };
    const signal = new AbortController().signal;
    t.match(await client.call(call, () => undefined, signal), { kind: 'answered', status: 200 });
    t.same(await client.call(call, () => undefined, signal), { kind: 'broken' });
    t.equal(server.runs(), 2, 'one run per call');
    server.close();
  },
);

await tap.test('should report not-run only for requests that were never sent', async t => {
  const server = await rawServer(() => undefined);
  const client = new HttpServiceClient(endpointAgent());
  const call = { url: server.url, method: 'POST', path: '/holds', headers: {}, body: undefined };
  server.close();
  await eventually(
    'refused',
    async () => (await client.call(call, () => undefined, new AbortController().signal)).kind === 'not-run',
  );
  t.ok(isNotSentError({ code: 'ECONNREFUSED' }));
  t.notOk(isNotSentError({ code: 'ECONNRESET' }));
  t.notOk(isNotSentError({ code: 'UND_ERR_SOCKET' }));
});

await tap.test('should apply backpressure to a stream with a slow reader', async t => {
  // Guards against unbounded buffering: when the caller pauses, TCP flow control must hold the engine back.
  const event = `data: ${JSON.stringify({ choices: [{ text: 'x'.repeat(2000) }], weight_version: 1 })}\n\n`;
  let writtenBytes = 0;
  const server = await rawServer((_run, socket) => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n');
    const pump = (): void => {
      while (writtenBytes < 64 << 20) {
        writtenBytes += event.length;
        if (!socket.write(event)) {
          socket.once('drain', pump);
          return;
        }
      }
    };
    pump();
  });
  const stop = new AbortController();
  const client = new HttpEngineClient(endpointAgent());
  let chunks = 0;
  const request = {
    url: server.url,
    requestId: 'r',
    prompt: 'p',
    maxTokens: 1,
    priority: 'high',
    resumeText: '',
    resumeTokens: 0,
    trace: undefined,
  } as const;
  const end = client.generate(
    request,
    async () => {
      chunks += 1;
      await new Promise<void>(resolve => stop.signal.addEventListener('abort', () => resolve()));
    },
    stop.signal,
  );
  let lastWrittenBytes = -1;
  await eventually('the engine is held back', async () => {
    const isBlocked = lastWrittenBytes === writtenBytes && chunks === 1;
    lastWrittenBytes = writtenBytes;
    await new Promise<void>(resolve => setTimeout(resolve, 100));
    return isBlocked;
  });
  t.ok(writtenBytes < 16 << 20, `${writtenBytes} bytes left the engine`);
  stop.abort();
  await end;
  server.close();
});

const fleet = await TestFleet.start({
  domains: ['tekapo'],
  hostsPerDomain: 3,
  enginesPerDomain: 2,
  servicesPerDomain: 1,
  engine: { tokenMs: 20, meanTokens: 30 },
});
tap.teardown(() => fleet.stop());

await tap.test('should refuse invalid input with a reason', async t => {
  const complete = (body: unknown, headers = {}): Promise<{ status: number; text: string }> =>
    fleet.call('tekapo-0', 'callers', '/v1/completions', { body, headers });
  t.match(await complete({ prompt: 'x' }), { status: 400, text: /model/ });
  t.match(await complete({ model: 'gen-pool', prompt: 'x', max_token: 5 }), {
    status: 400,
    text: /max_token/,
  });
  t.match(await complete({ model: 'gen-pool', prompt: 5 }), { status: 400, text: /prompt/ });
  t.match(await complete({ model: 'gen-pool', prompt: 'x' }, { 'fuchsiahitch-timeout-ms': 'soon' }), {
    status: 400,
    text: /timeout-ms/,
  });
  t.match(await complete({ model: 'gen-pool', prompt: 'x'.repeat(5_000_000) }), { status: 413 });
  t.match(await complete({ model: 'no-such-pool', prompt: 'x' }), { status: 503, text: /no-endpoint/ });
  t.match(await fleet.call('tekapo-0', 'callers', '/svc/', {}), { status: 400 });
  t.match(await fleet.call('tekapo-0', 'trainers', '/v1/steps', { body: { trainer: 'X' } }), {
    status: 400,
    text: /trainer/,
  });
  t.match(await fleet.call('tekapo-0', 'trainers', '/v1/steps/take', { body: [] }), { status: 400 });
});

await tap.test('should refuse rule edits without the operator token', async t => {
  const wrong = { authorization: 'Bearer wrong' };
  t.match(await fleet.call('tekapo-0', 'operators', '/v1/rules', { headers: wrong }), { status: 401 });
  t.match(await fleet.call('tekapo-0', 'operators', '/readyz', { headers: wrong }), { status: 200 });
  const metrics = await fleet.call('tekapo-0', 'operators', '/metrics', { headers: wrong });
  t.match(metrics.text, /fuchsiahitch_bad_input_total\{listener="callers"\} \d/);
});

await tap.test('should finish streams and hand over idempotency keys at shutdown', async t => {
  // Guards against truncated streams and repeated runs in a rolling restart, while the load balancer still sends
  // requests to the leaving hosts.
  const hold = { 'idempotency-key': 'before-shutdown' };
  await fleet.call('tekapo-1', 'callers', '/svc/skybook/holds', { body: {}, headers: hold });
  const streaming = fleet.call('tekapo-0', 'callers', '/v1/completions', {
    body: { model: 'gen-pool', prompt: 'a long night', max_tokens: 60 },
  });
  await eventually('the stream began', () => fleet.engines.some(engine => engine.completions > 0));
  const leaving = ['tekapo-0', 'tekapo-1'].map(id => fleet.host(id));
  const ends = leaving.map(host => host.shutDown());
  t.equal(leaving[0]?.isReady(), false, 'not ready as soon as the shutdown starts');
  const late = await fleet.call('tekapo-0', 'callers', '/v1/completions', {
    body: { model: 'gen-pool', prompt: 'late', max_tokens: 2 },
  });
  t.equal(late.status, 200, 'a request that arrives during the shutdown is served');
  const completed = await streaming;
  t.equal(completed.status, 200);
  t.equal(completed.headers['fuchsiahitch-outcome'], 'completed');
  await Promise.all(ends);
  fleet.hosts.delete('tekapo-0');
  fleet.hosts.delete('tekapo-1');
  const resent = await fleet.call('tekapo-2', 'callers', '/svc/skybook/holds', { body: {}, headers: hold });
  t.equal(resent.headers['fuchsiahitch-outcome'], 'completed');
  t.equal(fleet.services[0]?.executionCounts.get('before-shutdown'), 1);
});
