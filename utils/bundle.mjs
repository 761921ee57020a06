// Bundles each program into one file under dist/bin, so that a host needs Node.js and nothing else.
import fs from 'node:fs';
import { build } from 'esbuild';

const PROGRAMS = {
  'fuchsiahitch-entry': 'packages/entry/dist/main.js',
  fuchsiahitchctl: 'packages/ctl/dist/main.js',
  'fuchsiahitch-standin': 'packages/standins/dist/main.js',
};
// Nest loads these only when a project uses them; this one does not.
const UNUSED = [
  '@nestjs/platform-express',
  '@nestjs/microservices',
  '@nestjs/microservices/*',
  '@nestjs/websockets',
  '@nestjs/websockets/*',
  '@fastify/static',
  '@fastify/view',
  'class-transformer',
  'class-transformer/*',
  'class-validator',
  'cbor-extract',
];

// Some libraries are CommonJS and call require at run time.
const BANNER = [
  '#!/usr/bin/env node',
  "import { createRequire as makeRequire } from 'node:module';",
  'const require = makeRequire(import.meta.url);',
].join('\n');

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
    logLevel: 'error',
    banner: { js: BANNER },
  });
  fs.chmodSync(outfile, 0o755);
}
