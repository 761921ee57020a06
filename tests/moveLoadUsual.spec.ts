/**
 * Load test of moves: 8 fast and 24 slow endpoints, four trainers, with steps at the usual rate.
 */
import tap from 'tap';
import { checkMoveLoad } from './moveLoad.js';

await tap.test('should save time with fewer moves on fast and slow endpoints, usual rate', async t => {
  // Guards against moves that lead to slower endpoints, are made without need, or leave long items at slow endpoints until their step is late.
  for (const seed of [1, 2]) await checkMoveLoad(t, seed, 4000);
});
