/** Decides how many endpoints a pool should have in each failure domain, and when to order them. */
export * from './capacityPolicy.js';
export * from './model.js';
export * from './orderTracker.js';
export * from './poolBase.js';
export * from './restoreCapacity.js';
