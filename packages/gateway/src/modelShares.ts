/**
 * Assigns the endpoints of a pool to its models. Every host computes this from its own view of the pool.
 */
import {
  assignEndpoints,
  presentWork,
  workOfModels,
  type ModelTargets,
  type PoolDemand,
  type SharedEndpoint,
} from '@fuchsiahitch/batches';
import type { ConfigurationService } from './configurationService.js';
import type { DemandView } from './demandUpdates.js';
import type { Endpoint } from './endpoint.js';
import type { EndpointDirectory } from './endpointDirectory.js';

export interface ModelShares {
  /** The endpoints of the pool that are not leaving. */
  readonly endpoints: readonly Endpoint[];
  /** The newest version of each model, by model name. */
  readonly targets: ModelTargets;
  /** Endpoint identifiers by model name. */
  readonly shares: ReadonlyMap<string, readonly string[]>;
  /** The work that the shares are proportional to; undefined if it is unknown. */
  readonly demand: PoolDemand | undefined;
}

export interface SharePorts {
  readonly configuration: ConfigurationService;
  readonly endpoints: EndpointDirectory;
  readonly demand: DemandView;
}

export function modelShares(pool: string, ports: SharePorts): ModelShares {
  const { configuration, endpoints: directory } = ports;
  const models = configuration.models().get(pool) ?? [];
  const endpoints = directory.inPool(pool).filter(endpoint => !endpoint.isLeaving);
  const targets = new Map(models.map(model => [model, configuration.namedVersion(model)]));
  const views = endpoints.map(endpoint => sharedView(endpoint, models));
  const demand = ports.demand.ofPool(pool);
  const awaited = ports.demand.isAwaited(pool) ? presentWork(views, targets) : undefined;
  const shares = assignEndpoints(views, targets, demand ? workOfModels(demand, models) : awaited);
  return { endpoints, targets, shares, demand };
}

function sharedView(endpoint: Endpoint, models: readonly string[]): SharedEndpoint {
  return {
    id: endpoint.id,
    versions: new Map(models.map(model => [model, endpoint.versionOf(model)])),
    paceMs: endpoint.paceMs(),
  };
}
