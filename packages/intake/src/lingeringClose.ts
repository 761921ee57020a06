/**
 * Closes a connection whose request was answered before its end.
 */
import type net from 'node:net';
import type { Clock } from '@fuchsiahitch/base';

/** How long a client may take to read the answer and to stop sending. */
const LINGER_MS = 2000;

/**
 * Makes the connection end after its present answer without a reset: closing it with unread bytes would discard an answer
 * that the client has not read yet. What still arrives is dropped until the client closes, for a limited time.
 */
export function lingerAtClose(socket: net.Socket, clock: Clock): void {
  socket.destroySoon = () => {
    socket.end();
    const cancel = clock.after(LINGER_MS, () => socket.destroy());
    socket.once('close', cancel);
  };
}
