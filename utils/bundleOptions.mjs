// esbuild options of the bundles.
import { fileURLToPath, URL } from 'node:url';

/** Optional dependencies of libraries that this project does not use. */
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

const ASSERT = fileURLToPath(new URL('assertWithMessage.cjs', import.meta.url));

/** Modules that bundles use in place of others. */
const REPLACED = { 'node:assert': ASSERT, assert: ASSERT };

/** Defines `require`, which some CommonJS libraries call at run time. */
const BANNER = [
  '#!/usr/bin/env node',
  "import { createRequire as makeRequire } from 'node:module';",
  'const require = makeRequire(import.meta.url);',
].join('\n');

/**
 * Dynamically imported modules, such as the metrics server, are split into separate files: startup neither reads nor
 * compiles them. Without splitting, a module that is imported in both ways is never initialized.
 */
const BUILD = {
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outExtension: { '.js': '.mjs' },
  chunkNames: 'parts/[name]-[hash]',
  external: UNUSED,
  alias: REPLACED,
  logLevel: 'error',
  banner: { js: BANNER },
};

/** Options for the programs that run on the users' platform. */
export const TARGET_BUILD = {
  ...BUILD,
  entryPoints: {
    'fuchsiahitch-edge': 'platform/dist/edge.js',
    'fuchsiahitch-storage': 'platform/dist/storage.js',
  },
  minify: true,
  keepNames: true,
  outdir: 'target',
};

/** Options for the programs of the product. */
export const PRODUCT_BUILD = {
  ...BUILD,
  entryPoints: {
    'fuchsiahitch-entry': 'packages/entry/dist/main.js',
    fuchsiahitchctl: 'packages/ctl/dist/main.js',
    'fuchsiahitch-standin': 'packages/standins/dist/main.js',
  },
  outdir: 'dist/bin',
};
