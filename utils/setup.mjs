// Makes a fresh machine ready: installs what the lock file names, when it is not there yet, and builds.
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
