/** Clients for the platform's services, endpoints and scorers. */
export * from './connectionList.js';
export * from './connectionPool.js';
export * from './connectionProbe.js';
export * from './engine.js';
export * from './endpointPools.js';
export * from './etcdStore.js';
export * from './headerPairs.js';
export * from './httpEngineClient.js';
export * from './httpTools.js';
export * from './keyValueStore.js';
export * from './memberList.js';
export * from './resetInterceptor.js';
export * from './scorer.js';
export * from './serviceClient.js';
export * from './singleCall.js';
export * from './timeoutAfterPendingIo.js';
export * from './watchByChanges.js';
