/**
 * Tells whether anybody listens at an address.
 */
import { splitAddress } from '@fuchsiahitch/base';
import { Socket } from 'node:net';
import { errorCode } from './etcdStore.js';
import { timeoutAfterPendingIo } from './timeoutAfterPendingIo.js';

const LAST_PORT = 65_535;

/** How an attempt to connect went. `silent`: nobody answered in time. */
export type ProbeResult = 'connected' | 'refused' | 'silent';

/** Connects to `IP:port` and closes again at once; nothing is sent. */
export async function probeConnection(address: string, timeoutMs: number): Promise<ProbeResult> {
  const socket = new Socket();
  const end = await attempt(socket, address, timeoutMs);
  socket.destroy();
  return end;
}

async function attempt(socket: Socket, address: string, timeoutMs: number): Promise<ProbeResult> {
  const { ip, port } = splitAddress(address);
  // Nobody listens at a port that there isn't, but that is a fault of the record and not the end of a process.
  if (port > LAST_PORT) return 'silent';
  return new Promise(resolve => {
    timeoutAfterPendingIo(timeoutMs).addEventListener('abort', () => resolve('silent'));
    socket.on('connect', () => resolve('connected'));
    // Any other error, such as no way to the host, says nothing of who listens there.
    socket.on('error', thrown => resolve(errorCode(thrown) === 'ECONNREFUSED' ? 'refused' : 'silent'));
    socket.connect(port, ip);
  });
}
