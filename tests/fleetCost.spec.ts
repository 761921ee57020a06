/**
 * Work of idle fleets whose endpoints write heartbeats.
 */
import { SIZES } from './fleetCounts.js';
import { testIdleFleets } from './idleFleetCost.js';

await testIdleFleets(SIZES);
