/**
 * Bounds the work of one turn of the event loop that bodies in very small chunks cause: each chunk is parsed and delivered
 * by itself, so that a few clients could keep the host from renewing its leases. The connections of such bodies are paused
 * after each read and resumed one a turn. A reader that resumes by itself is still read at most once a turn.
 */

/** The connection that a body arrives on. */
export interface PausableReader {
  pause(): void;
  resume(): void;
}

/** A body whose chunks are smaller than this on average is read in turns. */
const SMALL_CHUNK_BYTES = 128;
/** Chunks before the average counts: a few short ones at the start of a body are usual. */
const MIN_CHUNKS = 256;

/** The chunks of one body. */
export class ReadPace {
  private readonly _reader: PausableReader;
  private _chunks = 0;
  private _bytes = 0;
  private _isWaiting = false;
  private _isDone = false;

  constructor(reader: PausableReader) {
    this._reader = reader;
  }

  /** Returns true if the body must wait for its turn from now on. */
  read(bytes: number): boolean {
    this._chunks += 1;
    this._bytes += bytes;
    if (this._isWaiting || this._isDone || !this._isSlow()) return false;
    this._isWaiting = true;
    this._reader.pause();
    return true;
  }

  resume(): void {
    if (this._isWaiting) this._reader.resume();
    this._isWaiting = false;
  }

  /** No more of the body is read; the connection is read on. */
  end(): void {
    this._isDone = true;
    this.resume();
  }

  private _isSlow(): boolean {
    return this._chunks >= MIN_CHUNKS && this._bytes < this._chunks * SMALL_CHUNK_BYTES;
  }
}

export class ReadTurns {
  private readonly _nextTurn: (run: () => void) => void;
  private readonly _waiting: ReadPace[] = [];
  private _isScheduled = false;

  /** `nextTurn` runs a function after the I/O of the present turn. */
  constructor(nextTurn: (run: () => void) => void) {
    this._nextTurn = nextTurn;
  }

  /** Notes a chunk of a body; its connection may be paused until a later turn. */
  read(pace: ReadPace, bytes: number): void {
    if (!pace.read(bytes)) return;
    this._waiting.push(pace);
    this._schedule();
  }

  private _schedule(): void {
    if (this._isScheduled || this._waiting.length === 0) return;
    this._isScheduled = true;
    this._nextTurn(() => {
      this._isScheduled = false;
      this._waiting.shift()?.resume();
      this._schedule();
    });
  }
}
