/** Decisions about weight orders to endpoints. */
export { decodeHandover, LeaseGuard } from '@fuchsiahitch/duties';
export * from './loadChoice.js';
export * from './loadSchedule.js';
export * from './model.js';
export * from './swapPlanner.js';
