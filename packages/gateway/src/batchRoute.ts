/**
 * Looks up the routes of a batch's items in the current configuration.
 */
import type { Batch, BatchItem } from '@fuchsiahitch/batches';
import type { Route } from '@fuchsiahitch/rules';
import type { ConfigurationService } from './configurationService.js';

/** Returns the route that all items of the batch share, or undefined if there is none. */
export function batchRoute(configuration: ConfigurationService, batch: Batch): Route | undefined {
  const [item] = batch.items;
  return item && itemRoute(configuration, batch, item);
}

/** The pools that the route's items may use. */
export function poolsOf(route: Route): readonly string[] {
  return route.pools.filter(share => share.weight > 0).map(share => share.pool);
}

/** Returns the route of a single item, or undefined if there is none. */
export function itemRoute(
  configuration: ConfigurationService,
  batch: Batch,
  item: BatchItem,
): Route | undefined {
  const result = configuration.route(batch.host, item.path);
  return result.kind === 'routed' ? result.route : undefined;
}
