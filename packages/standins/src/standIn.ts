/**
 * Base class of the stand-ins: an HTTP server with fault injection.
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

  /** Listens on `IP:port` and returns the bound address. Port 0 selects a free port. */
  async listen(address: string): Promise<string> {
    const { ip, port } = splitAddress(address);
    await this.server.listen({ host: ip, port });
    const boundAddress = this.server.server.address();
    this._address = typeof boundAddress === 'object' && boundAddress ? `${ip}:${boundAddress.port}` : address;
    return this._address;
  }

  /** Runs `step` periodically until the stand-in is closed. */
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
