/** The peer protocol between entry hosts. */
export * from './calls.js';
export * from './channel.js';
export * from './frameCodec.js';
export * from './peerLink.js';
export * from './peerServer.js';
