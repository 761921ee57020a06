/**
 * The built daemon as a process, from its start to SIGTERM.
 */
import tap from 'tap';
import { CrowdDaemon } from './crowdDaemon.js';

await tap.test('should start, answer a request and end on SIGTERM', async t => {
  // Guards against a bundle whose modules are not initialized, which shows only when the built program runs.
  const daemon = new CrowdDaemon({ memoryMb: 400, maxDescriptors: 700 });
  await daemon.start();
  t.ok(daemon.isAlive(), 'it listens');
  t.not(await daemon.ordinaryRequest(), 0, 'a request is answered');
  t.equal(await daemon.terminate(), 0, 'it ends by itself');
  await daemon.close();
});
