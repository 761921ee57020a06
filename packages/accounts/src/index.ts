/** Client accounts, their keys, and access decisions. */
export * from './access.js';
export * from './accountIndex.js';
export * from './accountsFile.js';
export * from './model.js';
