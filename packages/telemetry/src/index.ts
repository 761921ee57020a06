/** Logs and traces of every program. */
export * from './logger.js';
export * from './tracing.js';
