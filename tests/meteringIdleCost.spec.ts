/**
 * Cost of usage metering in an idle fleet of small and middle size.
 */
import { SIZES } from './usageCost.js';
import { testIdleCost } from './usageIdleCost.js';

for (const hosts of SIZES.slice(0, -1)) await testIdleCost(hosts);
