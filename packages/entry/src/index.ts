/** The entry host, for the programs that run it in one process with others. */
export * from './entryHost.js';
export * from './entryServices.js';
export * from './hostContext.js';
export * from './hostPorts.js';
export * from './metrics.js';
export * from './requestService.js';
export * from './entrySettings.js';
