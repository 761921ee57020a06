/**
 * Bytes of one load report over HTTP, counted at the socket.
 */
import type net from 'node:net';
import { EngineStandIn } from '@fuchsiahitch/standins';
import { Agent, buildConnector, request } from 'undici';

const POLLS = 20;

/** Returns the mean number of bytes of a request and its response. */
export async function pollBytes(): Promise<number> {
  const engine = new EngineStandIn();
  await engine.listen('127.0.0.1:0');
  const sockets: net.Socket[] = [];
  const connect = buildConnector({});
  const agent = new Agent({
    connect: (options, callback) =>
      connect(options, (...result) => {
        const [, socket] = result;
        if (socket) sockets.push(socket);
        callback(...result);
      }),
  });
  for (let i = 0; i < POLLS; i++)
    await (await request(`${engine.url}/load`, { dispatcher: agent })).body.dump();
  const bytes = sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
  await agent.close();
  await engine.close();
  return bytes / POLLS;
}
