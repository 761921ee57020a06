// Rewrites the golden files of golden.spec.ts. Review the diff before committing it.
import { spawnSync } from 'node:child_process';

const env = { ...process.env, UPDATE_GOLDEN: 'yes' };
const run = spawnSync(process.execPath, ['dist/tests/golden.spec.js'], { env, stdio: 'inherit' });
process.exit(run.status ?? 1);
