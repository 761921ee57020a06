/**
 * The built edge at SIGTERM, in calm: each request that it has read gets an answer.
 */
import fs from 'node:fs';
import http from 'node:http';
import tap from 'tap';
import { buildPrograms, CrowdHost, delay, IP, SMALL_MACHINE, UNANSWERED_PATH } from './crowdHost.js';

/** Late in the grace period, and before its end. */
const LATE_MS = 5000;
const SERVED = 200;
const REFUSED = 503;
const TIMED_OUT = 504;

const programs = await buildPrograms();
tap.teardown(() => fs.rmSync(programs, { recursive: true, force: true }));

let sent = 0;

/** Sends a request on the agent's connection. Resolves with the status, or 0 if the connection ends without an answer. */
async function send(agent: http.Agent, port: number, path: string): Promise<number> {
  const headers = { Host: 'h', 'Request-Id': `r${(sent += 1)}`, 'Deadline-Ms': '20000' };
  return new Promise(resolve => {
    const request = http.request({ host: IP, port, agent, method: 'POST', path, headers }, response => {
      response.resume();
      response.on('end', () => resolve(response.complete ? (response.statusCode ?? 0) : 0));
    });
    request.on('error', () => resolve(0));
    request.end('x');
  });
}

await tap.test('should answer requests that come late in the grace period or last beyond it', async t => {
  // Guards against requests that are passed on and cut without an answer when the process ends.
  const host = new CrowdHost(SMALL_MACHINE);
  await host.start(programs);
  const { port } = host.edge;
  const kept = new http.Agent({ keepAlive: true, maxSockets: 1 });
  const other = new http.Agent({ keepAlive: true, maxSockets: 1 });
  t.equal(await send(kept, port, '/a/x'), SERVED);
  const lasting = send(other, port, UNANSWERED_PATH);
  const ended = host.terminate();
  await delay(LATE_MS);
  t.equal(
    await send(kept, port, UNANSWERED_PATH),
    REFUSED,
    'refused, on a connection from before the SIGTERM',
  );
  t.equal(await lasting, TIMED_OUT, 'still at its endpoint');
  t.equal(await ended, 0, 'the process ends by itself');
  kept.destroy();
  other.destroy();
  await host.close();
});
