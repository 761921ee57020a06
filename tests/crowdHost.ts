/**
 * A built edge process as the deploy file starts it, on a small machine, with a store and an endpoint that answers
 * whatever it is sent.
 */
import fs from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import { build, stop, type BuildOptions } from 'esbuild';
import { StoreStandIn } from './platformStandIns.js';
import { ProcessPeaks } from './processPeaks.js';

export const IP = '127.0.0.1';
export const MAX_HEAD_BYTES = 16_384;
export const MAX_BODY_BYTES = 33_554_432;
export const GRACE_MS = 8000;

/** The machine of a host. Memory is that of the process, descriptors include its files. */
export interface Machine {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
}

/** The smallest machine on which the idle process and one request of full size fit before any bound. */
export const SMALL_MACHINE: Machine = { memoryMb: 200, maxDescriptors: 4100 };

const READY_POLL_MS = 50;
const MAX_READY_POLLS = 600;
const REQUEST_TIMEOUT_MS = 20_000;
/** Tries of one request, of which each but the last was refused with the promise that it has not run, or cut off. */
const MAX_TRIES = 60;
const RETRY_PAUSE_MS = 250;
/** Lengths of answers by the beginning of the path; all others are short. */
const ANSWER_BYTES: readonly (readonly [string, number])[] = [
  ['/a/large', 1_000_000],
  ['/a/huge', 8_000_000],
  ['/s/', 8_000_000],
];

/** Requests that the endpoint never answers. */
export const UNANSWERED_PATH = '/a/never';

const route = { host: 'h', service: 's', max_attempts: 3, timeout_ms: REQUEST_TIMEOUT_MS };
const CONFIGURATION = {
  version: 1,
  routes: [
    { ...route, name: 'r', prefix: '/a/', type: 'idempotent', target_latency_ms: 200 },
    { ...route, name: 's', prefix: '/s/', type: 'streaming', target_latency_ms: 200 },
    { ...route, name: 'b', prefix: '/b/', type: 'rollout', due_ms: 60_000, queue_ttl_s: 120 },
  ],
  services: [{ name: 's' }],
  limits: {
    max_header_bytes: MAX_HEAD_BYTES,
    max_body_bytes: MAX_BODY_BYTES,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
};
/** The record of the endpoint, without its address. */
export const ENDPOINT = {
  service: 's',
  version: 'v1',
  zone: 'tekapo',
  slots: 64,
  state: 'ready',
  cold_left_ms: 0,
  seq: 1,
};

interface EdgeProcess {
  readonly port: number;
  readonly readyPort: number;
  readonly peersPort: number;
  readonly metricsPort: number;
  readonly pid: number;
  start(storeAddress: string): Promise<void>;
  isReady(): Promise<boolean>;
  send(
    request: Readonly<Record<string, unknown>>,
    body?: Buffer,
  ): Promise<{ readonly status: number; readonly body: string }>;
  signal(name: string): void;
  end(signal: string): Promise<number | null>;
  ended(): Promise<number | null>;
}

type EdgeProcessClass = new (
  name: string,
  checkout: string,
  folder: string,
  options: Readonly<Record<string, unknown>>,
) => EdgeProcess;

async function importFile<T>(file: string): Promise<T> {
  return (await import(path.resolve(file))) as T;
}

/** Builds the programs once into a folder of its own, which is removed when the tests end. */
export async function buildPrograms(): Promise<string> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'fuchsiahitch-crowds-'));
  const { TARGET_BUILD } = await importFile<{ readonly TARGET_BUILD: BuildOptions }>(
    'utils/bundleOptions.mjs',
  );
  await build({ ...TARGET_BUILD, outdir: path.join(folder, 'target') });
  await stop();
  return folder;
}

/** The flags of Node.js with which the deploy file starts the edge program. */
function deployedNodeFlags(): readonly string[] {
  const deployed = fs.readFileSync('deploy/system.toml', 'utf8');
  const words = /run = "node ([^"]*)target\/fuchsiahitch-edge\.mjs/.exec(deployed)?.[1] ?? '';
  return words.split(' ').filter(Boolean);
}

/** Processes that would outlive their test file and keep the test runner waiting. */
const started = new Set<number>();

function killStarted(): void {
  for (const pid of started) process.kill(pid, 'SIGKILL');
}
process.once('exit', killStarted);
process.once('SIGTERM', () => process.exit(1));

export async function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Reads each request's body without keeping it, and answers with the length of the answer that its path asks for. */
class SinkEndpoint {
  private readonly _server = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      if (request.url?.startsWith(UNANSWERED_PATH)) return;
      const id = String(request.headers['request-id']);
      response.writeHead(200, { 'Request-Id': id, 'Server-Stamp': 'proof' });
      const lengthBytes = ANSWER_BYTES.find(([start]) => request.url?.startsWith(start))?.[1];
      response.end(lengthBytes === undefined ? 'whole' : Buffer.alloc(lengthBytes, 'y'));
    });
  });

  async listen(): Promise<string> {
    this._server.keepAliveTimeout = REQUEST_TIMEOUT_MS;
    await new Promise<void>(resolve => this._server.listen(0, IP, resolve));
    const bound = this._server.address();
    return typeof bound === 'object' && bound ? `${IP}:${bound.port}` : '';
  }

  async close(): Promise<void> {
    this._server.closeAllConnections();
    await new Promise(resolve => this._server.close(resolve));
  }
}

export class CrowdHost {
  private readonly _store = new StoreStandIn();
  private _endpoint = new SinkEndpoint();
  private readonly _machine: Machine;
  private _edge: EdgeProcess | undefined;
  private _exitCode: number | null | undefined;
  private _peaks: ProcessPeaks | undefined;
  private _sentRequests = 0;

  constructor(machine: Machine) {
    this._machine = machine;
  }

  get edge(): EdgeProcess {
    if (!this._edge) throw new Error('the host has not been started');
    return this._edge;
  }

  async start(folder: string): Promise<void> {
    const address = await this._endpoint.listen();
    this._store.data.put('servers/i-1', JSON.stringify({ ...ENDPOINT, address }));
    this._store.data.put('op/config', JSON.stringify(CONFIGURATION));
    const { EdgeHost } = await importFile<{ readonly EdgeHost: EdgeProcessClass }>(
      'platform/upgrade/edgeHost.mjs',
    );
    this._edge = new EdgeHost('edge-1', folder, folder, {
      bounds: { grace_s: GRACE_MS / 1000 },
      limits: { memory_mb: this._machine.memoryMb, max_fds: this._machine.maxDescriptors },
      nodeFlags: deployedNodeFlags(),
    });
    await this._edge.start(await this._store.listen());
    const { pid } = this._edge;
    started.add(pid);
    void this._edge.ended().then(code => {
      this._exitCode = code;
      started.delete(pid);
    });
    this._peaks = new ProcessPeaks(this._edge.pid, () => this.isAlive());
    for (let i = 0; i < MAX_READY_POLLS && !(await this._edge.isReady()); i++) await delay(READY_POLL_MS);
  }

  /** Writes a record into the list of endpoints. */
  putEndpoint(id: string, record: string): void {
    this._store.data.put(`servers/${id}`, record);
  }

  /** Replaces the endpoint by one at another address, under another identifier. */
  async moveEndpoint(): Promise<void> {
    await this._endpoint.close();
    this._endpoint = new SinkEndpoint();
    const address = await this._endpoint.listen();
    this._store.data.remove('servers/i-1');
    this.putEndpoint('i-2', JSON.stringify({ ...ENDPOINT, address }));
  }

  async close(): Promise<void> {
    if (this.isAlive()) await this.edge.end('SIGKILL');
    await this._endpoint.close();
    await this._store.close();
  }

  isAlive(): boolean {
    return this._exitCode === undefined;
  }

  get peaks(): ProcessPeaks {
    if (!this._peaks) throw new Error('the host has not been started');
    return this._peaks;
  }

  /** Sends a proper request as an ordinary client does: again after a refusal or a closed connection. Returns the last status. */
  async ordinaryRequest(body = Buffer.from('x')): Promise<number> {
    let status = 0;
    for (let i = 0; i < MAX_TRIES && status !== 200 && this.isAlive(); i++) {
      if (i > 0) await delay(RETRY_PAUSE_MS);
      status = await this._send('/a/x', body);
    }
    return status;
  }

  /** Submits a batch once. Returns the status. */
  async submit(body: Buffer): Promise<number> {
    return this._send('/b/x', body);
  }

  private async _send(path: string, body: Buffer): Promise<number> {
    this._sentRequests += 1;
    const headers = {
      'Request-Id': `ordinary-${this._sentRequests}`,
      'Deadline-Ms': String(REQUEST_TIMEOUT_MS),
    };
    const request = { method: 'POST', path, headers, timeoutMs: REQUEST_TIMEOUT_MS };
    return (await this.edge.send(request, body)).status;
  }

  /** Ends the process as the platform does: SIGKILL when the grace period is over. Returns its exit code. */
  async terminate(): Promise<number | null> {
    this.edge.signal('SIGTERM');
    const timer = setTimeout(() => this.edge.signal('SIGKILL'), GRACE_MS);
    const code = await this.edge.ended();
    clearTimeout(timer);
    return code;
  }
}
