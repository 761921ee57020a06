/**
 * The most memory and descriptors that a process has held.
 */
import fs from 'node:fs';

const SAMPLE_INTERVAL_MS = 50;
const BYTES_PER_KIB = 1024;
const BYTES_PER_MB = 1_000_000;

export class ProcessPeaks {
  descriptors = 0;
  private readonly _pid: number;
  private _bytes = 0;

  /** Reads the process until `isAlive` returns false. */
  constructor(pid: number, isAlive: () => boolean) {
    this._pid = pid;
    void this._sample(isAlive);
  }

  /** The peak of the resident memory, which the kernel keeps. */
  get memoryMb(): number {
    this._read();
    return this._bytes / BYTES_PER_MB;
  }

  private async _sample(isAlive: () => boolean): Promise<void> {
    while (isAlive()) {
      this._read();
      await new Promise(resolve => setTimeout(resolve, SAMPLE_INTERVAL_MS));
    }
  }

  private _read(): void {
    try {
      const status = fs.readFileSync(`/proc/${this._pid}/status`, 'utf8');
      this._bytes = Math.max(this._bytes, Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0) * BYTES_PER_KIB);
      this.descriptors = Math.max(this.descriptors, fs.readdirSync(`/proc/${this._pid}/fd`).length);
    } catch {
      // The process has just ended.
    }
  }
}
