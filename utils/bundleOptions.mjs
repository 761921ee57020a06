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
