/**
 * The entry daemon.
 */
import { PROGRAM_VERSION, readSettings, exitWith, SystemClock, SystemRandom } from '@fuchsiahitch/base';
import { EntryHost } from './entryHost.js';
import { entrySettings } from './entrySettings.js';

const PROGRAM = 'fuchsiahitch-entry';

const settings = readSettings(PROGRAM, entrySettings, process.argv.slice(2), process.env);
if (!settings.ok) exitWith(PROGRAM, PROGRAM_VERSION, settings.error);

const host = await EntryHost.start(settings.value, new SystemClock(), new SystemRandom());

let isShuttingDown = false;
async function shutDown(): Promise<void> {
  if (isShuttingDown) return;
  isShuttingDown = true;
  await host.shutDown();
  process.exit(0);
}

process.on('SIGHUP', () => void host.reload());
process.on('SIGTERM', () => void shutDown());
process.on('SIGINT', () => void shutDown());
