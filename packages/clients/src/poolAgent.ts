/**
 * Agent that sends the requests to each origin over a `ConnectionPool`.
 */
import { Agent, type Client, type Dispatcher } from 'undici';
import { ConnectionPool } from './connectionPool.js';

/** The time limit of each request is its signal. */
export function poolAgent(options: Client.Options): Dispatcher {
  const client = { ...options, headersTimeout: 0, bodyTimeout: 0 };
  return new Agent({ factory: origin => new ConnectionPool(String(origin), { client }) });
}
