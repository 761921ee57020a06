/** HTTP listeners of the daemons. */
export * from './listener.js';
export * from './statusServer.js';
