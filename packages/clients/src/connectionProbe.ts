/**
 * Tells whether anybody listens at an address.
 */
import { connect, type Socket } from 'node:net';
import { codeOf } from './etcdStore.js';
import { timeoutAfterReading } from './timeoutAfterReading.js';

/** How an attempt to connect went. `silent`: nobody answered in time. */
export type ProbeEnd = 'connected' | 'refused' | 'silent';

/** Connects to `IP:port` and closes again at once; nothing is sent. */
export async function probeConnection(address: string, timeoutMs: number): Promise<ProbeEnd> {
  const [host = '', port = ''] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  const end = await endOf(socket, timeoutMs);
  socket.destroy();
  return end;
}

async function endOf(socket: Socket, timeoutMs: number): Promise<ProbeEnd> {
  return new Promise(resolve => {
    timeoutAfterReading(timeoutMs).addEventListener('abort', () => resolve('silent'));
    socket.on('connect', () => resolve('connected'));
    // Any other error, such as no way to the host, says nothing of who listens there.
    socket.on('error', thrown => resolve(codeOf(thrown) === 'ECONNREFUSED' ? 'refused' : 'silent'));
  });
}
