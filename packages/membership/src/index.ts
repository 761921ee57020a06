/** Views of hosts and endpoints, exchanged by gossip. */
export * from './callBudget.js';
export * from './hostView.js';
export * from './leavingEvidence.js';
export * from './memberDocument.js';
export * from './watchRoles.js';
