/** The entry host, for programs that run several hosts in one process. */
export * from './entryHost.js';
export * from './entryServices.js';
export * from './hostContext.js';
export * from './hostPorts.js';
export * from './metrics.js';
export * from './requestService.js';
export * from './entrySettings.js';
