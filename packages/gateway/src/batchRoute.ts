/**
 * The routes of a batch's items, as the configuration has them at this moment.
 */
import type { Batch, BatchItem } from '@fuchsiahitch/batches';
import type { Route } from '@fuchsiahitch/rules';
import type { ConfigurationService } from './configurationService.js';

/** The route of the batch's items; they share one. Undefined if the configuration has none for them. */
export function batchRoute(configuration: ConfigurationService, batch: Batch): Route | undefined {
  const [item] = batch.items;
  return item && itemRoute(configuration, batch, item);
}

/** The route of one item by its own path. Undefined if the configuration has none for it. */
export function itemRoute(
  configuration: ConfigurationService,
  batch: Batch,
  item: BatchItem,
): Route | undefined {
  const result = configuration.route(batch.host, item.path);
  return result.kind === 'routed' ? result.route : undefined;
}
