/** Simulated deployments for tests and measurements: on a virtual clock, or over real sockets in one process. */
export * from './simFleet.js';
export * from './simTrainer.js';
export * from './simulation.js';
export * from './simBackends.js';
export * from './testFleet.js';
