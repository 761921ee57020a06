/** Bounds on what clients may make a host hold. Decisions only: nothing here knows a socket. */
export * from './bodyBuffer.js';
export * from './clientLimits.js';
export * from './readTurns.js';
