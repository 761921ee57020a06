/** Requests that endpoints began, by client account and window of true time. */
export * from './clockVote.js';
export * from './usageLedger.js';
export * from './usageMessages.js';
export * from './usageMeter.js';
export * from './usageWindow.js';
