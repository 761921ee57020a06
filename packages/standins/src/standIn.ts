/**
 * What all stand-ins share: a small HTTP server with faults.
 */
import Fastify, { type FastifyInstance } from 'fastify';
import { every, splitAddress, SystemClock } from '@fuchsiahitch/base';
import { FaultControl } from './faults.js';

const MAX_BODY_BYTES = 8 * 1024 * 1024;

export abstract class StandIn {
  readonly faults = new FaultControl();
  protected readonly server: FastifyInstance;
  private readonly _closed = new AbortController();
  private _address = '';

  constructor() {
    this.server = Fastify({ bodyLimit: MAX_BODY_BYTES, forceCloseConnections: true });
    this.faults.install(this.server);
  }

  /** Starts to listen on `IP:port`; port 0 takes a free one. */
  async listen(address: string): Promise<string> {
    const { ip, port } = splitAddress(address);
    await this.server.listen({ host: ip, port });
    const bound = this.server.server.address();
    this._address = typeof bound === 'object' && bound ? `${ip}:${bound.port}` : address;
    return this._address;
  }

  /** Does something regularly until the stand-in is closed. */
  protected repeat(periodMs: number, step: () => void): void {
    every(new SystemClock(), periodMs, this._closed.signal, step);
  }

  get url(): string {
    return `http://${this._address}`;
  }

  async close(): Promise<void> {
    this._closed.abort();
    await this.server.close();
  }
}
