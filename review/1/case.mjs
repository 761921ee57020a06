// TWICE and REFUSED: a late extra answer of an earlier, refused request is taken as the refusal of the next one.
import fs from 'node:fs';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { URL } from 'node:url';
import { Edge, LIMITS, loopbackAddress, send } from '../lib/fleet.mjs';
import { answerOf, Server } from '../lib/servers.mjs';
import { Store } from '../lib/store.mjs';

const IS_TROUBLED = process.env.TROUBLE !== '0';
const SERVERS = 5;
const SLOTS = 3;
const QUEUE = 3;
const WORK_MS = 36;
const CLIENTS = 100;
const PLAY_MS = 9000;
/** `garble`, `how = "extra late"`: within 0.6 of the servers, 0.03 of their answers, 5 s. */
const FAULT = { servers: 3, share: 0.03, atMs: 2000, forMs: 4900, limitMs: 5000 };
const DEADLINE_MS = 2000;
const NOT_RUN = [408, 421, 429, 503];

const startedMs = performance.now();
const record = [];
const runs = new Map();
const answers = new Map();
let extras = 0;

function note(what, details) {
  record.push(`${Math.round(performance.now() - startedMs)} ${what} ${details}`);
}

/** A sound service server with slots and a short queue. It refuses what does not fit, which has then not run. */
class BookingServer extends Server {
  _running = 0;
  _queue = [];
  isGarbling = false;
  garbledFrom = 0;
  doubled = 0;

  onRequest(request, channel) {
    this._sendDueExtra(channel);
    const id = request.headers['request-id'];
    if (request.headers['expect-instance'] !== this.id) {
      channel.socket.write(
        answerOf(request, '421 Misdirected Request', { headers: [`Instance-Id: ${this.id}`] }),
      );
      return;
    }
    if (this._running < SLOTS) this._run(request, channel, id);
    else if (this._queue.length < QUEUE) this._queue.push(() => this._run(request, channel, id));
    else
      this._answer(request, channel, '503 Service Unavailable', {
        headers: ['Not-Executed: 1', this._load()],
      });
  }

  _run(request, channel, id) {
    this._running += 1;
    runs.set(id, [...(runs.get(id) ?? []), this.id]);
    note('run', `${id} at ${this.id}`);
    setTimeout(() => {
      this._running -= 1;
      const headers = [`Server-Stamp: ${this.id}.${id}`, this._load()];
      if (!channel.isClosed) this._answer(request, channel, '200 OK', { headers, body: `booked ${id}` });
      this._queue.shift()?.();
    }, WORK_MS);
  }

  _load() {
    return `Server-Load: ${this._running},${this._queue.length},${SLOTS}`;
  }

  _answer(request, channel, status, options) {
    const bytes = answerOf(request, status, options);
    channel.socket.write(bytes);
    if (!this.isGarbling) return;
    this.garbledFrom += 1;
    const isOverLimit = this.doubled + 1 > FAULT.share * this.garbledFrom;
    if (isOverLimit || Math.random() >= FAULT.share) return;
    this.doubled += 1;
    channel.extra = { bytes, status, id: request.headers['request-id'] };
  }

  /** The second answer comes late, where the answer to the next request is expected. */
  _sendDueExtra(channel) {
    const { extra } = channel;
    channel.extra = undefined;
    if (!extra || !this.isGarbling) return;
    extras += 1;
    note('extra', `second answer "${extra.status}" of ${extra.id} from ${this.id}`);
    channel.socket.write(extra.bytes);
  }
}

const configuration = {
  version: 1,
  routes: [
    {
      name: 'r-hold',
      host: 'ficu95.example',
      prefix: '/lohu930/',
      type: 'non_idempotent',
      timeout_ms: 2000,
      target_latency_ms: 185,
      priority: 2,
      service: 'wuno96b',
      max_attempts: 2,
    },
  ],
  services: [{ name: 'wuno96b', health_path: '/healthz', max_conns: 110, protocol: 'h1', tls: false }],
  limits: LIMITS,
};

let nextId = 0;

/** A client on kept channels. After a refusal it comes again when it may, as another client attempt. */
async function client(edge, endMs) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  while (performance.now() < endMs) {
    nextId += 1;
    const id = nextId.toString(16).padStart(16, '0');
    note('sent', `${id} to ${edge.name}`);
    const headers = { 'Request-Id': id, 'Deadline-Ms': String(DEADLINE_MS) };
    const options = { method: 'POST', path: '/lohu930/2f', headers, agent, waitMs: DEADLINE_MS + 1000 };
    const { status, headers: answered } = await send(edge.front, options, 'seat 7');
    answers.set(id, status);
    note('answer', `${id} ${status}`);
    if (NOT_RUN.includes(status)) await delay(Number(answered['retry-after'] ?? 0.3) * 1000);
  }
  agent.destroy();
}

async function play(store, servers, edges) {
  const ip = await loopbackAddress();
  await store.listen(ip);
  for (let i = 0; i < SERVERS; i++) {
    const server = new BookingServer(`i-${i}`, 'wuno96b', store, { slots: SLOTS });
    servers.push(server);
    await server.listen(ip);
  }
  store.write('op/config', JSON.stringify(configuration));
  for (const edge of edges) await edge.start(store.address);
  for (const edge of edges) await edge.whenReady();
  await delay(1000);
  const beganMs = performance.now();
  const clients = Array.from({ length: CLIENTS }, (_, i) =>
    client(edges[i % edges.length], beganMs + PLAY_MS),
  );
  await delay(FAULT.atMs);
  for (const server of servers.slice(0, FAULT.servers)) server.isGarbling = IS_TROUBLED;
  const faultFromMs = performance.now();
  await delay(FAULT.forMs);
  for (const server of servers) server.isGarbling = false;
  faultMs = performance.now() - faultFromMs;
  await Promise.all(clients);
  await delay(DEADLINE_MS);
}

const store = new Store();
const servers = [];
const edges = [new Edge('edge-tekapo-1'), new Edge('edge-tekapo-2')];
let code = 2;
let faultMs = 0;
try {
  await play(store, servers, edges);
  const twice = [...runs].filter(([, at]) => at.length > 1);
  const refused = [...answers].filter(([id, status]) => NOT_RUN.includes(status) && runs.has(id));
  for (const [id, at] of twice)
    note('TWICE', `${id} ran at ${at.join(' and ')}, answered ${answers.get(id)}`);
  for (const [id, status] of refused)
    note('REFUSED', `${id} was answered ${status} and ran at ${runs.get(id)[0]}`);
  for (const { id, doubled, garbledFrom } of servers.slice(0, FAULT.servers))
    note(
      'dose',
      `${doubled} of ${garbledFrom} answers of ${id}, one of ${SERVERS}, in ${Math.round(faultMs)} ms`,
    );
  const refusals = [...answers.values()].filter(status => NOT_RUN.includes(status)).length;
  note(
    'total',
    `${answers.size} requests, ${refusals} refused, ${extras} extra answers, ` +
      `${twice.length} ran twice, ${refused.length} refused and run`,
  );
  // A play in which hardly anything was served or nothing was disturbed shows nothing.
  const isValid =
    faultMs <= FAULT.limitMs &&
    runs.size > 200 &&
    (!IS_TROUBLED || extras > 0) &&
    edges.every(({ exits }) => exits === 0);
  if (isValid) code = twice.length + refused.length > 0 ? 1 : 0;
} catch (error) {
  note('error', String(error.stack));
} finally {
  for (const edge of edges) await edge.close();
  for (const server of servers) server.close();
  store.close();
  fs.writeFileSync(new URL('record.txt', import.meta.url), `${record.join('\n')}\n`);
}
process.exit(code);
