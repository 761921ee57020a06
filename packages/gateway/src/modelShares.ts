/**
 * Assigns the endpoints of a pool to its models. Every host computes this from its own view of the pool.
 */
import { assignEndpoints, type ModelTargets, type SharedEndpoint } from '@fuchsiahitch/batches';
import type { ConfigurationService } from './configurationService.js';
import type { Endpoint } from './endpoint.js';
import type { EndpointDirectory } from './endpointDirectory.js';

export interface ModelShares {
  /** The endpoints of the pool that are not leaving. */
  readonly endpoints: readonly Endpoint[];
  /** The newest version of each model, by model name. */
  readonly targets: ModelTargets;
  /** Endpoint identifiers by model name. */
  readonly shares: ReadonlyMap<string, readonly string[]>;
}

export function modelShares(
  pool: string,
  configuration: ConfigurationService,
  directory: EndpointDirectory,
): ModelShares {
  const models = configuration.models().get(pool) ?? [];
  const endpoints = directory.inPool(pool).filter(endpoint => !endpoint.isLeaving);
  const targets = new Map(models.map(model => [model, configuration.namedVersion(model)]));
  const views = endpoints.map(endpoint => sharedView(endpoint, models));
  return { endpoints, targets, shares: assignEndpoints(views, targets) };
}

function sharedView(endpoint: Endpoint, models: readonly string[]): SharedEndpoint {
  return {
    id: endpoint.id,
    versions: new Map(models.map(model => [model, endpoint.versionOf(model)])),
  };
}
