/**
 * The cost of a poison request in a large fleet.
 */
import { testPoisonCost } from './poisonFleetCost.js';

await testPoisonCost(195, 5);
