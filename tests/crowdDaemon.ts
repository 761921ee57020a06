/**
 * The product's own daemon in a process of its own, with its own stand-ins.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { KeyValueStandIn, MemberStandIn } from '@fuchsiahitch/standins';
import type { Machine } from './crowdHost.js';
import { ProcessPeaks } from './processPeaks.js';

const PROGRAM = 'dist/bin/fuchsiahitch-entry.mjs';
const IP_AND_FREE_PORT = '127.0.0.1:0';

interface ListeningLine {
  readonly message?: string;
  readonly context?: { readonly callers?: string; readonly trainers?: string };
}

export class CrowdDaemon {
  callersPort = 0;
  trainersPort = 0;
  private readonly _store = new KeyValueStandIn();
  private readonly _members = new MemberStandIn();
  private readonly _machine: Machine;
  private _child: ChildProcess | undefined;
  private _peaks: ProcessPeaks | undefined;

  constructor(machine: Machine) {
    this._machine = machine;
  }

  get peaks(): ProcessPeaks {
    if (!this._peaks) throw new Error('the daemon has not been started');
    return this._peaks;
  }

  isAlive(): boolean {
    return this._child?.exitCode === null && this._child.signalCode === null;
  }

  async start(): Promise<void> {
    await this._store.listen(IP_AND_FREE_PORT);
    await this._members.listen(IP_AND_FREE_PORT);
    const flags = ['--host-id', 'a', '--domain', 'tekapo', '--domains', 'tekapo'];
    const urls = ['--store-url', this._store.url, '--members-url', this._members.url];
    const secrets = [
      '--fleet-key',
      'fleet-key-for-tests-only',
      '--operator-token',
      'operator-token-for-tests',
    ];
    const { memoryMb, maxDescriptors } = this._machine;
    // In the environment, as a build that doesn't know these settings would not start with flags for them.
    const limits = {
      FUCHSIAHITCH_MEMORY_MB: String(memoryMb),
      FUCHSIAHITCH_MAX_FDS: String(maxDescriptors),
    };
    const child = spawn(process.execPath, [PROGRAM, ...flags, ...urls, ...secrets], {
      env: { ...process.env, ...limits },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this._child = child;
    this._peaks = new ProcessPeaks(child.pid ?? 0, () => this.isAlive());
    await new Promise<void>(resolve => {
      child.once('exit', () => resolve());
      createInterface({ input: child.stdout }).on('line', line => {
        const { message, context } = JSON.parse(line) as ListeningLine;
        if (message !== 'listening') return;
        this.callersPort = Number(context?.callers?.split(':')[1]);
        this.trainersPort = Number(context?.trainers?.split(':')[1]);
        resolve();
      });
    });
  }

  /** Ends the process by SIGTERM. Returns its exit code; null if it was killed. */
  async terminate(): Promise<number | null> {
    const child = this._child;
    if (!child) return null;
    const ended = new Promise<number | null>(resolve => child.once('exit', resolve));
    child.kill('SIGTERM');
    return ended;
  }

  async close(): Promise<void> {
    this._child?.kill('SIGKILL');
    await this._store.close();
    await this._members.close();
  }

  /** Sends a request for which there is no endpoint. Returns the status, 0 if there is no answer. */
  async ordinaryRequest(): Promise<number> {
    try {
      const response = await fetch(`http://127.0.0.1:${this.callersPort}/svc/none/x`, {
        method: 'POST',
        body: 'x',
        signal: AbortSignal.timeout(20_000),
      });
      return response.status;
    } catch {
      return 0;
    }
  }
}
