// esbuild options of the bundles.
import { fileURLToPath, URL } from 'node:url';

/** Optional dependencies of libraries that this project does not use. */
export const UNUSED = [
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

const ASSERT = fileURLToPath(new URL('assertWithMessage.cjs', import.meta.url));

/** Modules that bundles use in place of others. */
export const REPLACED = { 'node:assert': ASSERT, assert: ASSERT };

/** Defines `require`, which some CommonJS libraries call at run time. */
export const BANNER = [
  '#!/usr/bin/env node',
  "import { createRequire as makeRequire } from 'node:module';",
  'const require = makeRequire(import.meta.url);',
].join('\n');

/**
 * Options for the programs that run on the users' platform. Dynamically imported modules, such as the metrics server,
 * are split into separate files, so that startup neither reads nor compiles them.
 */
export const TARGET_BUILD = {
  entryPoints: {
    'fuchsiahitch-edge': 'platform/dist/edge.js',
    'fuchsiahitch-storage': 'platform/dist/storage.js',
  },
  bundle: true,
  splitting: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  chunkNames: 'parts/[name]-[hash]',
  external: UNUSED,
  alias: REPLACED,
  logLevel: 'error',
  banner: { js: BANNER },
};
