/**
 * Joins the chunks of a body into one buffer. Chunks are copied as they arrive: each has a cost of its own that is
 * hundreds of times its size if a client sends single bytes.
 */

/** Sizes of the buffer before it gets the announced size, or the largest one if the length is unknown. */
const STEPS_BYTES = [16_384, 131_072];
/** A further step for a body of unknown length, most of which are far below the largest size. */
const UNKNOWN_STEPS_BYTES = [...STEPS_BYTES, 1_048_576];

export class BodyBuffer {
  private readonly _steps: readonly number[];
  private readonly _maxBytes: number;
  private _buffer: Buffer | undefined;
  private _sizeBytes = 0;
  private _capacityBytes: number;

  /** `announcedBytes` is undefined for a body of unknown length, which has at most `maxBytes`. */
  constructor(announcedBytes: number | undefined, maxBytes: number) {
    this._maxBytes = announcedBytes ?? maxBytes;
    const steps = announcedBytes === undefined ? UNKNOWN_STEPS_BYTES : STEPS_BYTES;
    const largest = steps.at(-1) ?? 0;
    const isExact = announcedBytes !== undefined && announcedBytes <= largest;
    this._steps = isExact ? [] : steps.filter(step => step < this._maxBytes);
    this._capacityBytes = this._steps[0] ?? this._maxBytes;
  }

  sizeBytes(): number {
    return this._sizeBytes;
  }

  /** The memory that the body takes, of which only what was written is resident. */
  capacityBytes(): number {
    return this._capacityBytes;
  }

  /** The capacity needed to add a chunk of this size. It is above the largest size if the body is too long. */
  capacityWith(chunkBytes: number): number {
    const neededBytes = this._sizeBytes + chunkBytes;
    if (neededBytes <= this._capacityBytes) return this._capacityBytes;
    const step = this._steps.find(bytes => bytes >= neededBytes) ?? this._maxBytes;
    return Math.max(neededBytes, step);
  }

  add(chunk: Buffer): void {
    this._capacityBytes = this.capacityWith(chunk.length);
    if (!this._buffer && chunk.length === this._capacityBytes) this._buffer = chunk;
    else chunk.copy(this._withCapacity(), this._sizeBytes);
    this._sizeBytes += chunk.length;
  }

  whole(): Buffer {
    return this._buffer?.subarray(0, this._sizeBytes) ?? Buffer.alloc(0);
  }

  drop(): void {
    this._buffer = undefined;
  }

  private _withCapacity(): Buffer {
    const earlier = this._buffer;
    if (earlier && earlier.length >= this._capacityBytes) return earlier;
    const buffer = Buffer.allocUnsafeSlow(this._capacityBytes);
    earlier?.copy(buffer, 0, 0, this._sizeBytes);
    this._buffer = buffer;
    return buffer;
  }
}
