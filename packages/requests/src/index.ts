/** Decisions about requests: outcomes, keys, routing, limits, retries. */
export * from './concurrencyLimit.js';
export * from './endpointPicker.js';
export * from './endpointStats.js';
export * from './fairAdmission.js';
export * from './keyClient.js';
export * from './keyHolder.js';
export * from './keyMessages.js';
export * from './keySlot.js';
export * from './outcome.js';
export * from './poisonCases.js';
export * from './requestFingerprint.js';
export * from './requestQueue.js';
export * from './requestRun.js';
export * from './retryBudget.js';
export * from './slotMap.js';
