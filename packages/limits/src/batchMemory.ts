/**
 * Bounds the memory of the batches that a host runs. A batch is held until it ends, which may be minutes after the request
 * that submitted it.
 */

/** A host adopts batches of a terminated one up to this multiple: they are accepted already, and must run somewhere. */
const ADOPTION_FACTOR = 2;

export class BatchMemory {
  private readonly _maxBytes: number;
  private readonly _openBytes: () => number;

  /** `openBytes`: memory of all batches that have not ended or are being accepted. */
  constructor(maxBytes: number, openBytes: () => number) {
    this._maxBytes = maxBytes;
    this._openBytes = openBytes;
  }

  /** A single batch is always accepted: its size has a limit of its own. */
  mayAccept(sizeBytes: number): boolean {
    return this._fits(sizeBytes, this._maxBytes);
  }

  mayAdopt(sizeBytes: number): boolean {
    return this._fits(sizeBytes, ADOPTION_FACTOR * this._maxBytes);
  }

  /** True if batches that have ended must be forgotten: `sizeBytes` is that of all batches in memory. */
  isFull(sizeBytes: number): boolean {
    return sizeBytes > this._maxBytes;
  }

  private _fits(sizeBytes: number, maxBytes: number): boolean {
    const openBytes = this._openBytes();
    return openBytes === 0 || openBytes + sizeBytes <= maxBytes;
  }
}
