/**
 * Joins the chunks of an endpoint's answer. An answer of known length is copied into one buffer as it arrives: its chunks
 * and their concatenation would take twice its size.
 */
import { MAX_HELD_BYTES } from './answerBudget.js';
import { BodyBuffer } from './bodyBuffer.js';

export class AnswerBuffer {
  private readonly _buffer: BodyBuffer | undefined;
  private readonly _chunks: Buffer[] = [];

  /** An endpoint may announce any length: for one that is never held, memory is taken as the answer arrives. */
  constructor(announcedBytes: number | undefined) {
    if (announcedBytes === undefined || announcedBytes > MAX_HELD_BYTES) return;
    this._buffer = new BodyBuffer(announcedBytes, announcedBytes);
  }

  add(chunk: Buffer): void {
    if (this._buffer) this._buffer.add(chunk);
    else this._chunks.push(chunk);
  }

  whole(): Buffer {
    return this._buffer?.whole() ?? Buffer.concat(this._chunks);
  }
}
