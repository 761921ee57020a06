/** Client accounts, their keys, and who may send a request. */
export * from './access.js';
export * from './accountIndex.js';
export * from './accountsFile.js';
export * from './model.js';
