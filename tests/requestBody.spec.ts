/**
 * Bodies of requests over sockets: what is received before a request is handled, and what follows it.
 */
import http from 'node:http';
import { once } from 'node:events';
import tap from 'tap';
import { listenAt, VirtualClock } from '@fuchsiahitch/base';
import { RequestBody } from '@fuchsiahitch/intake';
import { testClientLimits } from './testClientLimits.js';

const MAX_BODY_BYTES = 200_000;

/** A server that asks for a body only when it is told to, as a handler that waits for its configuration. */
class LateReader {
  private readonly _limits = testClientLimits(new VirtualClock());
  private readonly _server = http.createServer((request, response) => void this._handle(request, response));
  private _proceed: () => void = () => undefined;

  async listen(): Promise<string> {
    return listenAt(this._server, '127.0.0.1:0');
  }

  proceed(): void {
    this._proceed();
  }

  /** Resolves when a request has arrived. */
  async arrived(): Promise<void> {
    await once(this._server, 'request');
  }

  reservedBytes(): number {
    return this._limits.bodies.reservedBytes();
  }

  close(): void {
    this._server.closeAllConnections();
    this._server.close();
  }

  private async _handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = new RequestBody(request, this._limits, MAX_BODY_BYTES);
    await new Promise<void>(resolve => (this._proceed = resolve));
    const result = await body.read();
    response.end(typeof result === 'string' ? result : `${result.length}`);
    body.release();
  }
}

async function post(address: string, agent: http.Agent, bytes: number): Promise<string> {
  const request = http.request(`http://${address}/`, { method: 'POST', agent });
  request.setHeader('content-length', bytes);
  request.end(Buffer.alloc(bytes, 'x'));
  const [response] = (await once(request, 'response')) as [http.IncomingMessage];
  let text = '';
  for await (const part of response as AsyncIterable<Buffer>) text += part.toString();
  return text;
}

for (const bytes of [1, 65_536, 100_000, 150_000, 200_000, 200_001])
  await tap.test(`should read on after a body of ${bytes} bytes whose handler came late`, async t => {
    // Guards against a connection that stays paused after a body that was complete before its handler asked for it.
    const server = new LateReader();
    const address = await server.listen();
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    for (let i = 0; i < 3; i++) {
      const arrived = server.arrived();
      const answer = post(address, agent, bytes);
      await arrived;
      for (let turn = 0; turn < 50; turn++) await new Promise(resolve => setImmediate(resolve));
      server.proceed();
      t.equal(await answer, bytes > MAX_BODY_BYTES ? 'too-large' : `${bytes}`);
    }
    t.equal(server.reservedBytes(), 0);
    agent.destroy();
    server.close();
  });
