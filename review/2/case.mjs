// CONFIG: additional bytes after an answer, the head of an interim response, make the edge that reads them hang for good.
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
const SERVERS = 4;
const SLOTS = 6;
const WORK_MS = 25;
const CLIENTS = 24;
const PAUSE_MS = 50;
const PLAY_MS = 16_000;
/** `garble`, `how = "extra late"`: within 0.6 of the servers, 0.03 of their answers, 5 s. */
const FAULT = { servers: 1, share: 0.02, atMs: 2000, forMs: 4900, limitMs: 5000 };
const EXTRA = 'HTTP/1.1 103 Early Hints\r\n\r\n';
const TIMEOUT_MS = 1200;
const SLACK_MS = 500;
const DEADLINE_MS = 2000;
const CONTACT_MS = 3000;

const startedMs = performance.now();
const now = () => performance.now() - startedMs;
const record = [];
const note = (what, details) => record.push(`${Math.round(now())} ${what} ${details}`);

/** A sound service server that, while it garbles, sends additional bytes after some of its answers. */
class BookingServer extends Server {
  _running = 0;
  isGarbling = false;
  garbledFrom = 0;
  spoiled = 0;
  extras = 0;

  onRequest(request, channel) {
    this._sendDueExtra(channel);
    const id = request.headers['request-id'];
    if (request.headers['expect-instance'] !== this.id) {
      const headers = [`Instance-Id: ${this.id}`];
      channel.socket.write(answerOf(request, '421 Misdirected Request', { headers }));
      return;
    }
    this._running += 1;
    note('run', `${id} at ${this.id}`);
    setTimeout(() => {
      this._running -= 1;
      if (!channel.isClosed) this._answer(request, channel, id);
    }, WORK_MS);
  }

  _answer(request, channel, id) {
    const headers = [`Server-Stamp: ${this.id}.${id}`, `Server-Load: ${this._running},0,${SLOTS}`];
    channel.socket.write(answerOf(request, '200 OK', { headers, body: `booked ${id}` }));
    if (!this.isGarbling) return;
    this.garbledFrom += 1;
    const isOverLimit = this.spoiled + 1 > FAULT.share * this.garbledFrom;
    if (isOverLimit || Math.random() >= FAULT.share) return;
    this.spoiled += 1;
    channel.spoiledId = id;
  }

  /** The additional bytes come late, where the answer to the next request is expected. */
  _sendDueExtra(channel) {
    const { spoiledId } = channel;
    channel.spoiledId = undefined;
    if (!spoiledId || !this.isGarbling) return;
    this.extras += 1;
    note('extra', `bytes after the answer to ${spoiledId} from ${this.id}`);
    channel.socket.write(EXTRA);
  }
}

const configuration = {
  version: 1,
  routes: [
    {
      name: 'r-hold',
      host: 'ficu95.example',
      prefix: '/lohu930/',
      type: 'idempotent',
      timeout_ms: TIMEOUT_MS,
      target_latency_ms: 185,
      priority: 2,
      service: 'wuno96b',
      max_attempts: 2,
    },
  ],
  services: [{ name: 'wuno96b', health_path: '/healthz', max_conns: 110, protocol: 'h1', tls: false }],
  limits: LIMITS,
};

const requests = [];

async function attempt(edge, agent) {
  const id = requests.length.toString(16).padStart(16, '0');
  const request = { id, edge: edge.name, sentMs: now(), answeredMs: Infinity };
  requests.push(request);
  note('sent', `${id} to ${edge.name}`);
  const headers = { 'Request-Id': id, 'Deadline-Ms': String(DEADLINE_MS) };
  const options = { method: 'POST', path: '/lohu930/2f', headers, agent, waitMs: DEADLINE_MS };
  const { status, hasLeft } = await send(edge.front, options, `seat of ${id}`);
  if (!hasLeft) request.answeredMs = now();
  note('answer', `${id} ${hasLeft ? 'none, the client left' : status}`);
  return status === 200;
}

/** A client on a kept channel. It tries a failed request once more, at another edge and on a new channel. */
async function client(edges, i, endMs) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  while (performance.now() < endMs) {
    const isServed = await attempt(edges[i % edges.length], agent);
    if (!isServed) await attempt(edges[(i + 1) % edges.length], false);
    await delay(PAUSE_MS);
  }
  agent.destroy();
}

const store = new Store();
const servers = [];
const edges = [new Edge('edge-tekapo-1'), new Edge('edge-tekapo-2')];
let code = 2;
try {
  const ip = await loopbackAddress();
  await store.listen(ip);
  for (let i = 0; i < SERVERS; i++) {
    servers.push(new BookingServer(`i-${i}`, 'wuno96b', store, { slots: SLOTS }));
    await servers[i].listen(ip);
  }
  store.write('op/config', JSON.stringify(configuration));
  for (const edge of edges) await edge.start(store.address);
  for (const edge of edges) await edge.whenReady();
  await delay(CONTACT_MS);
  const endMs = performance.now() + PLAY_MS;
  const clients = Array.from({ length: CLIENTS }, (_, i) => client(edges, i, endMs));
  await delay(FAULT.atMs);
  for (const server of servers.slice(0, FAULT.servers)) server.isGarbling = IS_TROUBLED;
  const faultFromMs = performance.now();
  await delay(FAULT.forMs);
  for (const server of servers) server.isGarbling = false;
  const faultMs = performance.now() - faultFromMs;
  await Promise.all(clients);
  for (const edge of edges)
    note('edge', `${edge.name} ${edge.isRunning ? 'runs' : 'has ended'}, ready: ${await edge.isReady()}`);
  const [{ spoiled, garbledFrom, extras }] = servers;
  note(
    'dose',
    `${spoiled} of ${garbledFrom} answers of one of ${SERVERS} servers in ${Math.round(faultMs)} ms`,
  );
  const unanswered = requests.filter(({ sentMs, answeredMs }) => answeredMs - sentMs > TIMEOUT_MS);
  const late = unanswered.filter(({ sentMs, answeredMs }) => answeredMs - sentMs > TIMEOUT_MS + SLACK_MS);
  const counts = `${requests.length} requests, ${extras} with bytes after them, ${unanswered.length} unanswered at timeout_ms`;
  note('total', `${counts}, ${late.length} of these still unanswered half a second later`);
  const isBroken = late.length * 2 > unanswered.length;
  if (isBroken) note('CONFIG', `no answer for ${late.length} requests`);
  const isShown = faultMs <= FAULT.limitMs && (!IS_TROUBLED || extras > 0);
  if (isShown && requests.length > 100) code = isBroken ? 1 : 0;
} catch (error) {
  note('error', String(error.stack));
} finally {
  for (const edge of edges) await edge.close();
  for (const server of servers) server.close();
  store.close();
  fs.writeFileSync(new URL('record.txt', import.meta.url), `${record.join('\n')}\n`);
}
process.exit(code);
