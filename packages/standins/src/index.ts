/** Stand-ins for external systems, for tests, measurements and the demo. */
export * from './engineStandIn.js';
export * from './faults.js';
export * from './keyValueStandIn.js';
export * from './memberStandIn.js';
export * from './scorerStandIn.js';
export * from './serviceStandIn.js';
export * from './standIn.js';
export * from './trainer.js';
export * from './weightStoreStandIn.js';
