/** The entry host, for the programs that run it in one process with others. */
export * from './entryHost.js';
export * from './entrySettings.js';
