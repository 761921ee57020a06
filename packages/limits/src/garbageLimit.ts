/**
 * Bounds the buffers that are no longer used but not yet collected. The runtime collects by the size of its heap, in which
 * a buffer of megabytes counts some hundred bytes.
 */

/** Collects garbage: what was allocated lately, or all, which takes some tens of milliseconds. */
export type CollectGarbage = (kind: 'young' | 'all') => void;

/** Buffers from this size are worth a full collection. */
const LARGE_BYTES = 1_000_000;

export class GarbageLimit {
  private readonly _maxBytes: number;
  private readonly _collect: CollectGarbage;
  private _passedBytes = 0;
  private _releasedBytes = 0;

  constructor(maxBytes: number, collect: CollectGarbage) {
    this._maxBytes = maxBytes;
    this._collect = collect;
  }

  /** A buffer of this size was used for a moment. */
  passed(bytes: number): void {
    this._passedBytes += bytes;
    if (this._passedBytes < this._maxBytes) return;
    this._passedBytes = 0;
    this._collect('young');
  }

  /** A buffer of this size that was held for long is about to be dropped. */
  released(bytes: number): void {
    this._releasedBytes += bytes;
  }

  /** Call before a buffer is allocated: those released by then may still be there. */
  beforeAllocating(bytes: number): void {
    if (this._releasedBytes === 0 || this._releasedBytes + bytes <= this._maxBytes) return;
    const isLarge = bytes >= LARGE_BYTES || this._releasedBytes >= this._maxBytes;
    this._releasedBytes = 0;
    this._collect(isLarge ? 'all' : 'young');
  }
}
