/**
 * Tells whether anybody listens at an address.
 */
import { splitAddress } from '@fuchsiahitch/base';
import { Socket } from 'node:net';
import { codeOf } from './etcdStore.js';
import { timeoutAfterReading } from './timeoutAfterReading.js';

const LAST_PORT = 65_535;

/** How an attempt to connect went. `silent`: nobody answered in time. */
export type ProbeEnd = 'connected' | 'refused' | 'silent';

/** Connects to `IP:port` and closes again at once; nothing is sent. */
export async function probeConnection(address: string, timeoutMs: number): Promise<ProbeEnd> {
  const socket = new Socket();
  const end = await endOf(socket, address, timeoutMs);
  socket.destroy();
  return end;
}

async function endOf(socket: Socket, address: string, timeoutMs: number): Promise<ProbeEnd> {
  const { ip, port } = splitAddress(address);
  // Nobody listens at a port that there isn't, but that is a fault of the record and not the end of a process.
  if (port > LAST_PORT) return 'silent';
  return new Promise(resolve => {
    timeoutAfterReading(timeoutMs).addEventListener('abort', () => resolve('silent'));
    socket.on('connect', () => resolve('connected'));
    // Any other error, such as no way to the host, says nothing of who listens there.
    socket.on('error', thrown => resolve(codeOf(thrown) === 'ECONNREFUSED' ? 'refused' : 'silent'));
    socket.connect(port, ip);
  });
}
