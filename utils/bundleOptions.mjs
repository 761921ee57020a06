// What the bundles of all programs share.

/** Nest loads these only when a project uses them; this one does not. */
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

/** Some libraries are CommonJS and call require at run time. */
export const BANNER = [
  '#!/usr/bin/env node',
  "import { createRequire as makeRequire } from 'node:module';",
  'const require = makeRequire(import.meta.url);',
].join('\n');

/**
 * The programs that run on the users' platform, for esbuild. What a program loads on demand only, such as the application that
 * serves metrics, stands in files of its own, which a start neither reads nor compiles.
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
  logLevel: 'error',
  banner: { js: BANNER },
};
