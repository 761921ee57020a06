/**
 * Frames of the peer protocol: a 4-byte big-endian length and one CBOR value.
 */
import { err, messageOf, ok, type Result } from '@fuchsiahitch/base';
import { Encoder } from 'cbor-x';

const LENGTH_BYTES = 4;
/** Frame size limit on authenticated connections. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;
/** Frame size limit before authentication, so that an unknown peer cannot make a host buffer more. */
export const MAX_HELLO_BYTES = 1024;

/** A framing error. It closes the connection. */
export type FrameError =
  | { readonly kind: 'frame-too-large'; readonly sizeBytes: number; readonly limitBytes: number }
  | { readonly kind: 'malformed-frame'; readonly text: string };

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

export function encodeFrame(value: unknown): Buffer {
  const body = codec.encode(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Reassembles frames from received chunks. */
export class FrameReader {
  private _chunks: Buffer[] = [];
  private _sizeBytes = 0;
  private _limitBytes: number;

  constructor(limitBytes: number) {
    this._limitBytes = limitBytes;
  }

  setLimit(limitBytes: number): void {
    this._limitBytes = limitBytes;
  }

  push(chunk: Buffer): void {
    this._chunks.push(chunk);
    this._sizeBytes += chunk.length;
  }

  /** Returns the next complete frame's value, or undefined if more bytes are needed. */
  next(): Result<{ readonly value: unknown } | undefined, FrameError> {
    if (this._sizeBytes < LENGTH_BYTES) return ok(undefined);
    const sizeBytes = this._joinChunks().readUInt32BE(0);
    if (sizeBytes > this._limitBytes) {
      return err({ kind: 'frame-too-large', sizeBytes, limitBytes: this._limitBytes });
    }
    if (this._sizeBytes < LENGTH_BYTES + sizeBytes) return ok(undefined);
    const joined = this._joinChunks();
    const body = joined.subarray(LENGTH_BYTES, LENGTH_BYTES + sizeBytes);
    this._chunks = [joined.subarray(LENGTH_BYTES + sizeBytes)];
    this._sizeBytes -= LENGTH_BYTES + sizeBytes;
    return decodeBody(body);
  }

  /** Joins chunks only to read the length and when the frame is complete, so that it is copied at most twice. */
  private _joinChunks(): Buffer {
    const first = this._chunks[0];
    if (this._chunks.length === 1 && first) return first;
    if (first && first.length >= LENGTH_BYTES) {
      const frameBytes = LENGTH_BYTES + first.readUInt32BE(0);
      if (this._sizeBytes < frameBytes) return first;
    }
    const joined = Buffer.concat(this._chunks);
    this._chunks = [joined];
    return joined;
  }
}

function decodeBody(body: Buffer): Result<{ readonly value: unknown }, FrameError> {
  try {
    return ok({ value: codec.decode(body) as unknown });
  } catch (thrown) {
    return err({ kind: 'malformed-frame', text: messageOf(thrown) });
  }
}
