/** Logging, tracing and metrics shared by all programs. */
export * from './logger.js';
export * from './metricsRegistry.js';
export * from './tracing.js';
