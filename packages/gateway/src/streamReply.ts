/**
 * A streamed answer on its way to a caller.
 */
import type { ServerResponse } from 'node:http';
import type { StreamSink } from './callerRequest.js';
import type { HeaderPair } from './ports.js';

export class StreamReply implements StreamSink {
  private readonly _response: ServerResponse;
  private readonly _headers: (pairs: readonly HeaderPair[]) => readonly string[];

  constructor(response: ServerResponse, headers: (pairs: readonly HeaderPair[]) => readonly string[]) {
    this._response = response;
    this._headers = headers;
  }

  begin(status: number, headers: readonly HeaderPair[]): void {
    this._response.writeHead(status, [...this._headers(headers)]);
  }

  /** Waits while the caller does not read: a slow reader must not make this host buffer its stream. */
  async write(chunk: Buffer): Promise<void> {
    if (this._response.destroyed || this._response.write(chunk)) return;
    await new Promise<void>(resolve => {
      const end = (): void => {
        this._response.off('drain', end);
        this._response.off('close', end);
        resolve();
      };
      this._response.on('drain', end);
      this._response.on('close', end);
    });
  }

  end(): void {
    this._response.end();
  }

  abort(): void {
    this._response.destroy();
  }
}
