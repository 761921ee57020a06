/** Connections and request bodies of clients, taken from sockets within the limits on clients. */
export * from './collectGarbage.js';
export * from './lingeringClose.js';
export * from './processLimits.js';
export * from './requestBody.js';
export * from './serverConnections.js';
export * from './socketConnection.js';
