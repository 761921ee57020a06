/** Training steps: ledger, provenance, staleness and scheduling. */
export * from './fairSchedule.js';
export * from './model.js';
export * from './provenance.js';
export * from './staleness.js';
export * from './stepLedger.js';
export * from './stepMessages.js';
export * from './stepOwner.js';
export * from './stepStore.js';
