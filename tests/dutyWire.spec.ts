/**
 * Wire protocol of the platform duties: settings, calls, and their outcomes.
 */
import http from 'node:http';
import net from 'node:net';
import tap from 'tap';
import { DutyClient, parseSettings } from '@fuchsiahitch/platform';

const SETTINGS = {
  node_name: 'edge-1',
  ip: '127.0.0.1',
  zone: 'tekapo',
  listen: {},
  port_range: [7720, 7735],
  bounds: { grace_s: 8, lease_ms: 3000, report_window_s: 5, usage_late_s: 10 },
  platform: { address: '127.0.0.1:8169', ttl_min_ms: 1000 },
  cloud: { address: '127.0.0.1:8182', duties: ['usage_report'], duty_per_s: 50 },
};
const ACT = { holder: 'edge-1', fencingToken: 12 };
const REPORT = { window: 353, counts: { ann: 412, bob: 3 } };
const TIMEOUTS = { connectMs: 200, answerMs: 400 };

await tap.test('should report usage only if the platform requests it', t => {
  const usageOf = (settings: unknown): unknown => {
    const parsed = parseSettings(JSON.stringify(settings));
    return parsed.ok ? parsed.value.duties.usage : parsed.error;
  };
  t.same(usageOf(SETTINGS), { windowMs: 5000, dueMs: 10_000 });
  t.equal(usageOf({ ...SETTINGS, cloud: undefined }), undefined);
  t.equal(usageOf({ ...SETTINGS, cloud: null }), undefined);
  t.equal(usageOf({ ...SETTINGS, cloud: { duties: ['usage_report'] } }), undefined);
  t.equal(usageOf({ ...SETTINGS, cloud: { address: '127.0.0.1:8182', duties: [] } }), undefined);
  t.equal(usageOf({ ...SETTINGS, bounds: { grace_s: 8, lease_ms: 3000 } }), undefined);
  t.end();
});

interface ReceivedCall {
  readonly line: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

async function serve(status: number): Promise<{ address: string; seen: ReceivedCall[]; close: () => void }> {
  const seen: ReceivedCall[] = [];
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const line = `${request.method ?? ''} ${request.url ?? ''}`;
      seen.push({ line, headers: request.headers, body: Buffer.concat(chunks).toString() });
      if (status === 0) request.socket.resetAndDestroy();
      else if (status > 0) response.writeHead(status).end();
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  const close = (): void => {
    server.closeAllConnections();
    server.close();
  };
  return { address: `127.0.0.1:${port}`, seen, close };
}

await tap.test('should send a report with its holder and fencing token', async t => {
  const platform = await serve(200);
  const client = new DutyClient(platform.address);
  t.equal(await client.reportUsage(ACT, REPORT, TIMEOUTS), 'accepted');
  const [call] = platform.seen;
  t.equal(call?.line, 'POST /usage');
  t.match(call?.headers, {
    'lease-holder': 'edge-1',
    'fencing-token': '12',
    'content-type': 'application/json',
  });
  t.same(JSON.parse(call?.body ?? ''), REPORT);
  platform.close();
});

await tap.test('should order regular endpoints and take a conflict for a refusal', async t => {
  const platform = await serve(409);
  const order = { pool: 'gen-pool', domain: 'tekapo', count: 12 };
  t.equal(await new DutyClient(platform.address).orderCapacity(ACT, order, TIMEOUTS), 'refused');
  const [call] = platform.seen;
  t.equal(call?.line, 'POST /scale');
  t.match(call?.headers, { 'lease-holder': 'edge-1', 'fencing-token': '12' });
  t.same(JSON.parse(call?.body ?? ''), { service: 'gen-pool', zone: 'tekapo', group_count: 12 });
  platform.close();
});

await tap.test('should map the end of a call to its outcome', async t => {
  // -1: the request is never answered. 0: the connection is reset.
  const ends = { 429: 'busy', 503: 'busy', 500: 'busy', 400: 'refused', '-1': 'unknown', 0: 'unknown' };
  for (const [status, end] of Object.entries(ends)) {
    const platform = await serve(Number(status));
    t.equal(await new DutyClient(platform.address).reportUsage(ACT, REPORT, TIMEOUTS), end, status);
    t.equal(platform.seen.length, 1, 'sent once');
    platform.close();
  }
  const closed = await serve(200);
  closed.close();
  t.equal(await new DutyClient(closed.address).reportUsage(ACT, REPORT, TIMEOUTS), 'unreached');
});
