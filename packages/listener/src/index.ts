/** HTTP listeners of the daemons. */
export * from './listener.js';
