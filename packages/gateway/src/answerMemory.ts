/**
 * Memory of the answers that are being buffered, for all requests of a host together: a faulty endpoint may send an
 * answer without end.
 */

/** A host has some hundred megabytes for everything. */
const MAX_HELD_BYTES = 32 * 1024 * 1024;
/** An answer up to this size is buffered however much the others hold. */
const ALWAYS_ALLOWED_BYTES = 1024 * 1024;

export class AnswerMemory {
  private _heldBytes = 0;

  isFull(): boolean {
    return this._heldBytes > MAX_HELD_BYTES;
  }

  changed(bytes: number): void {
    this._heldBytes += bytes;
  }
}

/** One answer. `release` must be called when it is no longer buffered. */
export class AnswerBuffer {
  private readonly _memory: AnswerMemory;
  private readonly _chunks: Buffer[] = [];
  private _sizeBytes = 0;

  constructor(memory: AnswerMemory) {
    this._memory = memory;
  }

  /** Returns false if the answer is too long to be buffered. */
  add(chunk: Buffer): boolean {
    this._chunks.push(chunk);
    this._sizeBytes += chunk.length;
    this._memory.changed(chunk.length);
    return this._sizeBytes <= ALWAYS_ALLOWED_BYTES || !this._memory.isFull();
  }

  whole(): Buffer {
    return Buffer.concat(this._chunks);
  }

  release(): void {
    this._memory.changed(-this._sizeBytes);
    this._sizeBytes = 0;
  }
}
