/** Bounds on what clients may make a host hold. Decisions only: nothing here knows a socket. */
export * from './answerBudget.js';
export * from './answerBuffer.js';
export * from './batchMemory.js';
export * from './bodyBudget.js';
export * from './bodyBuffer.js';
export * from './clientLimits.js';
export * from './connectionLimit.js';
export * from './garbageLimit.js';
export * from './hostBudget.js';
export * from './jsonCost.js';
export * from './limitReport.js';
export * from './readTurns.js';
export * from './requestLimit.js';
