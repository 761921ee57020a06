/** Logs, traces and metrics of every program. */
export * from './logger.js';
export * from './metricsRegistry.js';
export * from './tracing.js';
