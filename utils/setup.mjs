// Installs the dependencies if they are missing or older than the lock file, then builds.
import fs from 'node:fs';
import { execSync } from 'node:child_process';

const LOCK = 'package-lock.json';
const INSTALLED = 'node_modules/.package-lock.json';

function needsInstall() {
  if (!fs.existsSync(INSTALLED)) return true;
  return fs.statSync(LOCK).mtimeMs > fs.statSync(INSTALLED).mtimeMs + 1000;
}

if (needsInstall()) execSync('npm ci --no-audit --no-fund', { stdio: 'inherit' });
execSync('npm run --silent build', { stdio: 'inherit' });
