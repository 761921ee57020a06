/** Counts the requests that endpoints began to run, by client account and time window. */
export * from './clockEstimator.js';
export * from './usageLedger.js';
export * from './usageMessages.js';
export * from './usageMeter.js';
export * from './usageWindow.js';
