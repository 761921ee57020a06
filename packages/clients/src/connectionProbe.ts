/**
 * Checks whether a process listens at an address.
 */
import { splitAddress } from '@fuchsiahitch/base';
import { Socket } from 'node:net';
import { errorCode } from './etcdStore.js';
import { timeoutAfterPendingIo } from './timeoutAfterPendingIo.js';

const LAST_PORT = 65_535;

/** `inconclusive`: a timeout, or an error other than a refused connection. */
export type ProbeResult = 'connected' | 'refused' | 'inconclusive';

/** Connects to `IP:port` and closes the connection without sending data. */
export async function probeConnection(address: string, timeoutMs: number): Promise<ProbeResult> {
  const socket = new Socket();
  const result = await connect(socket, address, timeoutMs);
  socket.destroy();
  return result;
}

async function connect(socket: Socket, address: string, timeoutMs: number): Promise<ProbeResult> {
  const { ip, port } = splitAddress(address);
  // An invalid port comes from a malformed record.
  if (port > LAST_PORT) return 'inconclusive';
  return new Promise(resolve => {
    timeoutAfterPendingIo(timeoutMs).addEventListener('abort', () => resolve('inconclusive'));
    socket.on('connect', () => resolve('connected'));
    socket.on('error', thrown => resolve(errorCode(thrown) === 'ECONNREFUSED' ? 'refused' : 'inconclusive'));
    socket.connect(port, ip);
  });
}
