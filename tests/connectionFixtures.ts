/**
 * An endpoint that counts its connections, and requests to it.
 */
import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import { ConnectionPool, type ConnectionEvent } from '@fuchsiahitch/clients';
import { validResponse, WireServer } from './platformStandIns.js';

export const POLL_MS = 5;
export const MAX_POLLS = 400;

export async function waitUntil(isTrue: () => boolean): Promise<void> {
  for (let i = 0; i < MAX_POLLS && !isTrue(); i++) await new Promise(resolve => setTimeout(resolve, POLL_MS));
  if (!isTrue()) throw new Error('the expected state was not reached in time');
}

/** Several turns of the event loop: enough for a connection to become available after its response. */
export async function settle(): Promise<void> {
  for (let i = 0; i < 5; i++) await new Promise(resolve => setImmediate(resolve));
}

class EventCounts {
  private readonly _counts = new Map<string, number>();

  readonly add = (event: ConnectionEvent): void => {
    const key = event.event === 'opened' ? event.reason : event.event;
    this._counts.set(key, (this._counts.get(key) ?? 0) + 1);
  };

  all(): Record<string, number> {
    return Object.fromEntries(this._counts);
  }
}

/** An endpoint that keeps the sockets of its requests and holds responses back while `isHolding`. */
export class Endpoint {
  readonly server = new WireServer();
  readonly counts = new EventCounts();
  readonly sockets: Socket[] = [];
  isHolding = false;
  extraHeaders: readonly string[] = [];
  private _held: (() => void)[] = [];
  private _address = '';

  static async start(): Promise<Endpoint> {
    const endpoint = new Endpoint();
    endpoint._address = await endpoint.server.listen();
    endpoint.server.answer = (request, socket) => {
      endpoint.sockets.push(socket);
      const respond = (): void => {
        if (socket.writable) socket.write(validResponse(request, 'whole', '200 OK', endpoint.extraHeaders));
      };
      if (endpoint.isHolding) endpoint._held.push(respond);
      else respond();
    };
    return endpoint;
  }

  get address(): string {
    return this._address;
  }

  get open(): number {
    return this.server.connections - this.server.closed;
  }

  get received(): number {
    return this.server.requests.length;
  }

  pool(): ConnectionPool {
    return new ConnectionPool(`http://${this._address}`, { client: {}, onConnection: this.counts.add });
  }

  respondToHeld(): void {
    const held = this._held;
    this._held = [];
    for (const respond of held) respond();
  }

  async close(): Promise<void> {
    await this.server.close();
  }
}

export async function send(pool: Dispatcher, signal?: AbortSignal): Promise<string> {
  const { body } = await pool.request({ path: '/', method: 'POST', body: 'x', signal: signal ?? null });
  return body.text();
}

/** The error of a request, or undefined if it succeeded. */
export async function failureOf(sent: Promise<string>): Promise<unknown> {
  return sent.then(
    () => undefined,
    (thrown: unknown) => thrown,
  );
}

/** Sends requests that are in progress together; those with the given indexes are aborted while they run. */
export async function burst(
  endpoint: Endpoint,
  pool: Dispatcher,
  size: number,
  isAborted: (index: number) => boolean = () => false,
): Promise<number> {
  endpoint.isHolding = true;
  const before = endpoint.received;
  const abort = new AbortController();
  const sent = Array.from({ length: size }, (_, i) =>
    failureOf(send(pool, isAborted(i) ? abort.signal : undefined)),
  );
  await waitUntil(() => endpoint.received === before + size);
  abort.abort();
  endpoint.respondToHeld();
  endpoint.isHolding = false;
  const failures = (await Promise.all(sent)).filter(failure => failure !== undefined);
  await settle();
  return failures.length;
}
