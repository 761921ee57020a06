/**
 * Compares the connections that an endpoint accepts with the number of hosts that share them.
 */
import type { ConfigurationService } from './configurationService.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { Hosts } from './hostDirectory.js';

export interface ConnectionBudgetPorts {
  readonly configuration: Pick<ConfigurationService, 'connectionLimit'>;
  readonly endpoints: Pick<EndpointDirectory, 'inPool'>;
  readonly hosts: Pick<Hosts, 'peers'>;
}

/**
 * True if one host's share of an endpoint's connections is smaller than the endpoint's slots, so that the host cannot
 * fill an endpoint within its share. False for pools without a limit.
 */
export function hasScarceConnections(pool: string, ports: ConnectionBudgetPorts): boolean {
  const limit = ports.configuration.connectionLimit(pool);
  if (limit === undefined) return false;
  const [endpoint] = ports.endpoints.inPool(pool);
  const hostCount = ports.hosts.peers().length + 1;
  return endpoint !== undefined && limit / hostCount < endpoint.info().slots;
}
