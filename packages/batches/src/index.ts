/** Logic of batches without I/O: storage format, ownership, placement and results. */
export * from './baselineSpeed.js';
export * from './batchKeys.js';
export * from './batchLedger.js';
export * from './batchMessages.js';
export * from './carryOver.js';
export * from './endpointShares.js';
export * from './itemPlacement.js';
export * from './itemProgress.js';
export * from './storedEvents.js';
export * from './listingPolicy.js';
export * from './model.js';
export * from './movePolicy.js';
export * from './pace.js';
export * from './records.js';
export * from './resultList.js';
export * from './retryDelay.js';
export * from './idleTimeouts.js';
