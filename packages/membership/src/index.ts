export * from './callBudget.js';
export * from './hostView.js';
export * from './leavingEndpoints.js';
export * from './memberDocument.js';
export * from './watchRoles.js';
