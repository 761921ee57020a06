/** The gateway daemon without its sockets. */
export * from './batchOwner.js';
export * from './batchService.js';
export * from './batchStore.js';
export * from './configurationService.js';
export * from './endpoint.js';
export * from './endpointDirectory.js';
export * from './forwarder.js';
export * from './gateway.js';
export * from './gatewayContext.js';
export * from './gatewayMetrics.js';
export * from './hostDirectory.js';
export * from './itemAttempt.js';
export * from './ports.js';
export * from './storeLease.js';
export * from './storeMirror.js';
export * from './weightOrders.js';
