/** How many endpoints a pool should have in each failure domain. */
export * from './capacityPolicy.js';
export * from './model.js';
export * from './orderTracker.js';
