/**
 * Work of idle fleets whose endpoints write no heartbeats.
 */
import { SIZES } from './fleetCounts.js';
import { testIdleFleets } from './idleFleetCost.js';

await testIdleFleets(SIZES.map(size => ({ ...size, isHeartbeatDisabled: true })));
