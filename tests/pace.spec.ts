/**
 * Estimation of an endpoint's pace from uneven intervals, and its effect on moves.
 */
import tap from 'tap';
import { SeededRandom } from '@fuchsiahitch/base';
import { PaceEstimator, shouldMove } from '@fuchsiahitch/batches';

/** The intervals of a stream with an event every 45 ms, read in bursts of one to four. */
function* bursts(seed: number): Generator<number> {
  const random = new SeededRandom(seed);
  for (;;) {
    const events = 1 + random.below(4);
    yield 45 * events;
    for (let i = 1; i < events; i++) yield 0;
  }
}

function paceAfter(intervals: number, seed: number): PaceEstimator {
  const pace = new PaceEstimator();
  const source = bursts(seed);
  for (let i = 0; i < intervals; i++) pace.addInterval(Number(source.next().value));
  return pace;
}

await tap.test('should return no pace after a few events', t => {
  const pace = new PaceEstimator();
  for (let i = 0; i < 15; i++) pace.addInterval(45);
  t.equal(pace.estimateMs(), undefined);
  pace.addInterval(45);
  t.equal(pace.estimateMs(), 45);
  t.end();
});

await tap.test('should move no item between endpoints of equal speed', t => {
  // With too little smoothing, one of many equal endpoints appears to be faster by chance.
  let moves = 0;
  for (let run = 1; run <= 200; run++) {
    const currentPaceMs = paceAfter(100, run).estimateMs() ?? 0;
    const otherPacesMs = Array.from(
      { length: 30 },
      (_, i) => paceAfter(100, 5000 + 100 * run + i).estimateMs() ?? 0,
    );
    if (otherPacesMs.some(otherPaceMs => shouldMove(2000, currentPaceMs, otherPaceMs))) moves += 1;
  }
  t.equal(moves, 0);
  t.end();
});

await tap.test('should detect an endpoint that becomes slow within about 60 events', t => {
  const pace = paceAfter(300, 1);
  for (let i = 0; i < 60; i++) pace.addInterval(160);
  t.ok((pace.estimateMs() ?? 0) > 100, `${pace.estimateMs()} ms`);
  t.end();
});
