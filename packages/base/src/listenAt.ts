import type net from 'node:net';
import { splitAddress } from './settings.js';

/** Listens at `IP:port`. Resolves with the bound address, which has the port that was chosen if `port` is 0. */
export async function listenAt(server: net.Server, address: string): Promise<string> {
  const { ip, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
  const bound = server.address();
  return typeof bound === 'object' && bound ? `${ip}:${bound.port}` : address;
}
