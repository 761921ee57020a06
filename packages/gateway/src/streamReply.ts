/**
 * Writes a streamed answer to a caller's HTTP response.
 */
import type { ServerResponse } from 'node:http';
import type { HeldAnswer } from '@fuchsiahitch/limits';
import type { StreamSink } from './callerRequest.js';
import type { HeaderPair } from './ports.js';

export class StreamReply implements StreamSink {
  private readonly _response: ServerResponse;
  private readonly _headers: (pairs: readonly HeaderPair[]) => readonly string[];
  private readonly _stall: () => HeldAnswer;

  /** `stall`: called when the caller doesn't read on. */
  constructor(
    response: ServerResponse,
    headers: (pairs: readonly HeaderPair[]) => readonly string[],
    stall: () => HeldAnswer,
  ) {
    this._response = response;
    this._headers = headers;
    this._stall = stall;
  }

  begin(status: number, headers: readonly HeaderPair[]): void {
    this._response.writeHead(status, [...this._headers(headers)]);
  }

  /** Waits for the response to drain, so that the stream of a slow caller is not buffered at this host. */
  async write(chunk: Buffer): Promise<void> {
    if (this._response.destroyed || this._response.write(chunk)) return;
    const held = this._stall();
    await new Promise<void>(resolve => {
      const settle = (): void => {
        this._response.off('drain', settle);
        this._response.off('close', settle);
        held.release();
        resolve();
      };
      this._response.on('drain', settle);
      this._response.on('close', settle);
    });
  }

  end(): void {
    this._response.end();
  }

  abort(): void {
    this._response.destroy();
  }
}
