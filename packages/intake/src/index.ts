/** Connections and request bodies of clients, taken from sockets within the limits on clients. */
export * from './requestBody.js';
