// Rewrites the golden files from what the sessions do now. Read the difference before it is committed.
import { spawnSync } from 'node:child_process';

const env = { ...process.env, UPDATE_GOLDEN: 'yes' };
const run = spawnSync(process.execPath, ['dist/tests/golden.spec.js'], { env, stdio: 'inherit' });
process.exit(run.status ?? 1);
