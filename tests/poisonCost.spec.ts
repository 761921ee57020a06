/**
 * The cost of a poison request in fleets of small and middle size.
 */
import { testPoisonCost } from './poisonFleetCost.js';

await testPoisonCost(12, 3);
await testPoisonCost(69, 4);
