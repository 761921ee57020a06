/**
 * Load test of moves: 8 fast and 24 slow endpoints, four trainers, with steps at a higher rate.
 */
import tap from 'tap';
import { checkMoveLoad } from './moveLoad.js';

await tap.test('should save time with fewer moves on fast and slow endpoints, higher rate', async t => {
  // Guards against moves that lead to slower endpoints, are made without need, or leave long items at slow endpoints until their step is late.
  await checkMoveLoad(t, 3, 2400);
});
