// Bundles each program into one file under dist/bin, so that a host needs only Node.js.
import fs from 'node:fs';
import { build } from 'esbuild';
import { BANNER, REPLACED, UNUSED } from './bundleOptions.mjs';

const PROGRAMS = {
  'fuchsiahitch-entry': 'packages/entry/dist/main.js',
  fuchsiahitchctl: 'packages/ctl/dist/main.js',
  'fuchsiahitch-standin': 'packages/standins/dist/main.js',
};
for (const [name, entry] of Object.entries(PROGRAMS)) {
  if (!fs.existsSync(entry)) continue;
  const outfile = `dist/bin/${name}.mjs`;
  await build({
    entryPoints: [entry],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    outfile,
    external: UNUSED,
    alias: REPLACED,
    logLevel: 'error',
    banner: { js: BANNER },
  });
  fs.chmodSync(outfile, 0o755);
}
