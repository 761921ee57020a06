/**
 * Starts and stops the processes of the demo.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import * as z from 'zod';

const START_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 15_000;

const standInLineSchema = z.looseObject({ address: z.string() });
const entryLineSchema = z.looseObject({
  message: z.literal('listening'),
  context: z.looseObject({
    callers: z.string(),
    trainers: z.string(),
    operators: z.string(),
    peers: z.string(),
  }),
});

export interface StartedProcess<A> {
  readonly child: ChildProcess;
  readonly addresses: A;
}

export interface EntryAddresses {
  readonly callers: string;
  readonly trainers: string;
  readonly operators: string;
  readonly peers: string;
}

export class Supervisor {
  private readonly _children = new Set<ChildProcess>();
  private readonly _binFolder: string;

  constructor(binFolder: string) {
    this._binFolder = binFolder;
    process.on('exit', () => this.killAll());
  }

  /** Number of running processes. */
  count(): number {
    return this._children.size;
  }

  async startStandIn(flags: Readonly<Record<string, string>>): Promise<StartedProcess<string>> {
    const child = this._start('fuchsiahitch-standin.mjs', flags);
    const addresses = await firstMatchingLine(child, line => {
      const parsed = standInLineSchema.safeParse(line);
      return parsed.success ? parsed.data.address : undefined;
    });
    return { child, addresses };
  }

  async startEntry(flags: Readonly<Record<string, string>>): Promise<StartedProcess<EntryAddresses>> {
    const child = this._start('fuchsiahitch-entry.mjs', flags);
    const addresses = await firstMatchingLine(child, line => {
      const parsed = entryLineSchema.safeParse(line);
      return parsed.success ? parsed.data.context : undefined;
    });
    return { child, addresses };
  }

  /** Runs `fuchsiahitchctl` and returns its combined output and its exit code. */
  async ctl(args: readonly string[]): Promise<{ readonly output: string; readonly exitCode: number }> {
    const child = spawn(process.execPath, [`${this._binFolder}/fuchsiahitchctl.mjs`, ...args], {
      stdio: 'pipe',
    });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => (output += chunk.toString()));
    const exitCode = await new Promise<number>(resolve => child.on('exit', code => resolve(code ?? 1)));
    return { output, exitCode };
  }

  /** Kills a process with SIGKILL to simulate a crash. */
  crash(child: ChildProcess): void {
    child.kill('SIGKILL');
  }

  /** Sends SIGTERM to all processes and kills those that do not exit in time. */
  async stopAll(): Promise<void> {
    const stops = [...this._children].map(async child => {
      child.kill('SIGTERM');
      await Promise.race([exited(child), delay(STOP_TIMEOUT_MS)]);
    });
    await Promise.all(stops);
    this.killAll();
  }

  killAll(): void {
    for (const child of this._children) child.kill('SIGKILL');
  }

  private _start(program: string, flags: Readonly<Record<string, string>>): ChildProcess {
    const args = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value]);
    const child = spawn(process.execPath, [`${this._binFolder}/${program}`, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this._children.add(child);
    child.on('exit', () => this._children.delete(child));
    return child;
  }
}

async function firstMatchingLine<T>(child: ChildProcess, read: (line: unknown) => T | undefined): Promise<T> {
  const { stdout } = child;
  if (!stdout) throw new Error('broken invariant: a started process has no stdout pipe');
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error('process did not print its addresses before the start timeout')),
      START_TIMEOUT_MS,
    );
    child.once('exit', code => reject(new Error(`process exited with ${code ?? 'a signal'} during startup`)));
    // Keep reading after the first match: a full pipe would block the process.
    createInterface({ input: stdout }).on('line', line => {
      const value = read(parse(line));
      if (value === undefined) return;
      clearTimeout(timer);
      resolve(value);
    });
  });
}

function parse(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}

async function exited(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  await new Promise<void>(resolve => child.once('exit', () => resolve()));
}

export async function delay(durationMs: number): Promise<void> {
  await new Promise<void>(resolve => setTimeout(resolve, durationMs));
}
