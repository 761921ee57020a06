// Bundles the programs that run on the users' platform into target/, one small file each.
import { build } from 'esbuild';
import { BANNER, UNUSED } from './bundleOptions.mjs';

const PROGRAMS = {
  'fuchsiahitch-edge': 'platform/dist/edge.js',
  'fuchsiahitch-storage': 'platform/dist/storage.js',
};

for (const [name, entry] of Object.entries(PROGRAMS)) {
  await build({
    entryPoints: [entry],
    bundle: true,
    minify: true,
    keepNames: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    outfile: `target/${name}.mjs`,
    external: UNUSED,
    logLevel: 'error',
    banner: { js: BANNER },
  });
}
