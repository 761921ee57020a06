/**
 * Listening servers.
 */
import type net from 'node:net';
import { splitAddress } from './settings.js';

/** Starts to listen at `IP:port`; resolves with the address, which tells the port where 0 was asked. */
export async function listenAt(server: net.Server, address: string): Promise<string> {
  const { ip, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
  const bound = server.address();
  return typeof bound === 'object' && bound ? `${ip}:${bound.port}` : address;
}
