/**
 * Cost of an entry host as a proxy hop, compared with a minimal pass-through proxy on the same libraries.
 *
 * Client, proxy and endpoint share this process. The cost of a hop is the CPU time of a request through it minus that
 * of a direct request; on one thread, the ratio of costs is the ratio of throughputs.
 */
import http from 'node:http';
import Fastify, { type FastifyInstance } from 'fastify';
import { TestFleet } from '@fuchsiahitch/testkit';
import { Agent, request, type Dispatcher } from 'undici';
import type { Measurement } from './figure.js';

const REQUESTS = 6000;
const WARM_UP_CALLS = 1500;
const CONCURRENCY = 16;
const ROUNDS = 3;
const STREAM_TOKENS = 400;
const STREAMS = 120;
const LATENCY_REQUESTS = 1500;
const MEMORY_REQUESTS = 20_000;
const BYTES_PER_KB = 1000;

export const hop: Measurement = {
  name: 'hop',
  description:
    'cost of an entry host as a proxy hop against a pass-through proxy: small requests, streams, memory',
  async run(print) {
    const engine = await startFastEngine();
    const fleet = await TestFleet.start({
      domains: ['tekapo'],
      hostsPerDomain: 1,
      enginesPerDomain: 0,
      servicesPerDomain: 1,
    });
    const engineEntry = {
      id: 'fast-engine',
      domain: 'tekapo',
      pool: 'fast',
      kind: 'engine' as const,
      url: engine.url,
    };
    fleet.members.change({ endpoint: { ...engineEntry, slots: 64, checksFencing: false, state: 'live' } });
    const service = fleet.services[0]?.url ?? '';
    const passThrough = await startPassThrough(service, engine.url);
    const host = fleet.urls('callers')[0] ?? '';
    const agent = new Agent({ connections: CONCURRENCY });
    await waitForPool(host, agent);

    const small = {
      direct: `${service}/listings`,
      passThrough: `${passThrough.url}/svc/skybook/listings`,
      entry: `${host}/svc/skybook/listings`,
    };
    const smallCosts = await measureCosts(url => get(url, agent), small, REQUESTS);
    print({
      figure: 'small request: CPU, pass-through proxy',
      value: smallCosts.passThrough - smallCosts.direct,
      unit: 'us',
    });
    print({
      figure: 'small request: CPU, entry host',
      value: smallCosts.entry - smallCosts.direct,
      unit: 'us',
    });
    const ratio = (smallCosts.passThrough - smallCosts.direct) / (smallCosts.entry - smallCosts.direct);
    print({
      figure: 'small request: throughput, entry host relative to pass-through proxy',
      value: ratio,
      unit: 'ratio',
      bound: '>= 0.5',
    });

    const addedMs = (await medianMs(small.entry, agent)) - (await medianMs(small.passThrough, agent));
    print({
      figure: 'small request: median latency added to the pass-through proxy, low load',
      value: addedMs,
      unit: 'ms',
      bound: '<= 1',
    });

    const streams = { direct: engine.url, passThrough: passThrough.url, entry: host };
    const streamCosts = await measureCosts(url => stream(url, agent), streams, STREAMS);
    const perToken = (us: number): number => us / STREAM_TOKENS;
    print({
      figure: 'stream: CPU per token, pass-through proxy',
      value: perToken(streamCosts.passThrough - streamCosts.direct),
      unit: 'us',
    });
    print({
      figure: 'stream: CPU per token, entry host',
      value: perToken(streamCosts.entry - streamCosts.direct),
      unit: 'us',
    });
    const streamRatio =
      (streamCosts.passThrough - streamCosts.direct) / (streamCosts.entry - streamCosts.direct);
    print({
      figure: 'stream: tokens per second, entry host relative to pass-through proxy',
      value: streamRatio,
      unit: 'ratio',
      bound: '>= 0.5',
    });

    print({
      figure: 'heap growth over 20,000 requests',
      value: await heapGrowthMb(small.entry, agent),
      unit: 'MB',
      bound: '<= 8',
    });
    await agent.close();
    await passThrough.server.close();
    await fleet.stop();
    engine.server.closeAllConnections();
    engine.server.close();
  },
};

type Urls = Readonly<Record<'direct' | 'passThrough' | 'entry', string>>;

/** Returns the CPU time per call in microseconds for each URL: the minimum over interleaved rounds. */
async function measureCosts(
  call: (url: string) => Promise<void>,
  urls: Urls,
  calls: number,
): Promise<Record<keyof Urls, number>> {
  const minimum = { direct: Infinity, passThrough: Infinity, entry: Infinity };
  for (const url of Object.values(urls)) await runMany(() => call(url), Math.min(WARM_UP_CALLS, calls));
  for (let round = 0; round < ROUNDS; round++) {
    for (const name of ['direct', 'passThrough', 'entry'] as const) {
      const before = process.cpuUsage();
      await runMany(() => call(urls[name]), calls);
      const cpuUsed = process.cpuUsage(before);
      minimum[name] = Math.min(minimum[name], (cpuUsed.user + cpuUsed.system) / calls);
    }
  }
  return minimum;
}

async function runMany(call: () => Promise<void>, calls: number): Promise<void> {
  let remaining = calls;
  const worker = async (): Promise<void> => {
    while (remaining-- > 0) await call();
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
}

async function medianMs(url: string, agent: Dispatcher): Promise<number> {
  const times: number[] = [];
  for (let i = 0; i < LATENCY_REQUESTS; i++) {
    const startMs = performance.now();
    await get(url, agent);
    times.push(performance.now() - startMs);
  }
  times.sort((a, b) => a - b);
  return times[Math.floor(times.length / 2)] ?? 0;
}

async function heapGrowthMb(url: string, agent: Dispatcher): Promise<number> {
  await runMany(() => get(url, agent), WARM_UP_CALLS);
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  await runMany(() => get(url, agent), MEMORY_REQUESTS);
  globalThis.gc?.();
  return Math.max(0, (process.memoryUsage().heapUsed - before) / BYTES_PER_KB / BYTES_PER_KB);
}

async function get(url: string, agent: Dispatcher): Promise<void> {
  const response = await request(url, { dispatcher: agent });
  await response.body.dump();
  if (response.statusCode !== 200) throw new Error(`${url}: ${response.statusCode}`);
}

async function stream(url: string, agent: Dispatcher): Promise<void> {
  const response = await request(`${url}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'fast', prompt: 'p', max_tokens: STREAM_TOKENS, stream: true }),
    dispatcher: agent,
  });
  const text = await response.body.text();
  if (!text.includes('[DONE]')) throw new Error(`${url}: stream ended without [DONE]`);
}

async function waitForPool(host: string, agent: Dispatcher): Promise<void> {
  for (;;) {
    const isReady = await stream(host, agent).then(
      () => true,
      () => false,
    );
    if (isReady) return;
    await new Promise<void>(resolve => setTimeout(resolve, 100));
  }
}

interface Started<S> {
  readonly url: string;
  readonly server: S;
}

/** An engine that writes all tokens at once, so that the proxy is the bottleneck. */
async function startFastEngine(): Promise<Started<http.Server>> {
  const events = Array.from({ length: STREAM_TOKENS }, (_, i) => {
    const event = { choices: [{ index: 0, text: `token${i} ` }], tokens: 1, weight_version: 1 };
    return `data: ${JSON.stringify(event)}\n\n`;
  });
  const last = {
    choices: [{ text: '', finish_reason: 'stop' }],
    usage: { completion_tokens: STREAM_TOKENS },
  };
  const server = http.createServer((incoming, outgoing) => {
    incoming.resume();
    if (incoming.url === '/load') {
      outgoing.end(
        JSON.stringify({ in_flight: 0, queued: 0, weight_version: 1, start_id: '1', leaving: false }),
      );
      return;
    }
    outgoing.writeHead(200, { 'content-type': 'text/event-stream' });
    for (const event of events) outgoing.write(event);
    outgoing.end(`data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return { url: urlOf(server), server };
}

/** A minimal proxy on the same HTTP libraries. */
async function startPassThrough(serviceUrl: string, engineUrl: string): Promise<Started<FastifyInstance>> {
  const server = Fastify();
  const agent = new Agent();
  server.get('/svc/skybook/listings', async (_request, reply) => {
    const response = await request(`${serviceUrl}/listings`, { dispatcher: agent });
    const body = await response.body.text();
    return reply.status(response.statusCode).header('content-type', 'application/json').send(body);
  });
  server.post('/v1/completions', async (incoming, reply) => {
    const body = JSON.stringify(incoming.body);
    const headers = { 'content-type': 'application/json' };
    const response = await request(`${engineUrl}/v1/completions`, {
      method: 'POST',
      headers,
      body,
      dispatcher: agent,
    });
    return reply.header('content-type', 'text/event-stream').send(response.body);
  });
  await server.listen({ host: '127.0.0.1', port: 0 });
  return { url: urlOf(server.server), server };
}

function urlOf(server: http.Server): string {
  const boundAddress = server.address();
  return `http://127.0.0.1:${typeof boundAddress === 'object' && boundAddress ? boundAddress.port : 0}`;
}
