/**
 * Cost of usage metering in a large idle fleet.
 */
import { SIZES } from './usageCost.js';
import { testIdleCost } from './usageIdleCost.js';

for (const hosts of SIZES.slice(-1)) await testIdleCost(hosts);
