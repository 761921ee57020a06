/** Utilities shared by all packages. */
export * from './afterPendingIo.js';
export * from './clock.js';
export * from './deadline.js';
export * from './hash.js';
export * from './listenAt.js';
export * from './result.js';
export * from './random.js';
export * from './settings.js';
export * from './version.js';
