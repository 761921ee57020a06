/** Decisions about weight orders to endpoints. */
export * from './leaseGuard.js';
export * from './loadChoice.js';
export * from './loadSchedule.js';
export * from './model.js';
export * from './ordersHandover.js';
export * from './swapPlanner.js';
