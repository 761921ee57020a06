/**
 * PoisonCases: verdicts on requests that ran while endpoints terminated.
 */
import tap from 'tap';
import { VirtualClock } from '@fuchsiahitch/base';
import { PoisonCases, requestFingerprint, targetDigest, targetOfFingerprint } from '@fuchsiahitch/requests';

const REQUEST = { caller: '', host: 'mods', method: 'POST', target: '/a', body: Buffer.from('b') };
const FP = requestFingerprint(REQUEST);

interface World {
  readonly clock: VirtualClock;
  readonly cases: PoisonCases;
}

function casesAfterEnds(...ends: readonly string[]): World {
  const clock = new VirtualClock();
  const cases = new PoisonCases(clock);
  for (const startId of ends) cases.ended(FP, startId);
  return { clock, cases };
}

await tap.test('should hold a request after two terminations and allow one trial', async t => {
  const { clock, cases } = casesAfterEnds('e1');
  t.same(cases.verdict(FP), { kind: 'free' });
  cases.ended(FP, 'e1');
  t.same(cases.verdict(FP), { kind: 'free' }, 'the same start is counted once');
  cases.ended(FP, 'e2');
  await clock.advance(500);
  t.same(cases.verdict(FP), { kind: 'held', remainingMs: 1500 });
  await clock.advance(1500);
  t.same(cases.verdict(FP), { kind: 'trial', number: 1 });
  cases.trialStarted(FP, 1, 2);
  t.equal(cases.verdict(FP).kind, 'held', 'the result of the trial is pending');
  await clock.advance(2500);
  t.same(cases.verdict(FP), { kind: 'held', remainingMs: 57_500 }, 'a missing result is no proof');
  cases.ended(FP, 'e3');
  t.same(cases.verdict(FP), { kind: 'condemned' });
});

await tap.test('should condemn a request whose trial terminated an endpoint, in any order of messages', t => {
  // The termination can arrive before the message about the trial that caused it.
  const { cases } = casesAfterEnds('e1', 'e2', 'e3');
  cases.trialStarted(FP, 1, 2);
  t.same(cases.verdict(FP), { kind: 'condemned' });
  t.end();
});

await tap.test('should allow at most three trials with increasing delays', async t => {
  const { clock, cases } = casesAfterEnds('e1', 'e2');
  const trials: number[] = [];
  for (let s = 0; s < 4000; s++) {
    await clock.advance(1000);
    const verdict = cases.verdict(FP);
    if (verdict.kind !== 'trial') continue;
    trials.push(s + 1);
    cases.trialStarted(FP, verdict.number, 1 + verdict.number);
    cases.ended(FP, `e${2 + verdict.number}`);
  }
  t.same(trials, [2, 62, 662]);
  t.same(cases.verdict(FP), { kind: 'condemned' });
});

await tap.test('should not hold a request when no trial is left', async t => {
  const { clock, cases } = casesAfterEnds('e1', 'e2');
  for (const number of [1, 2, 3]) {
    await clock.advance(600_000);
    cases.trialStarted(FP, number, 2);
  }
  t.same(cases.verdict(FP), { kind: 'condemned' }, 'the last trial was started');
});

await tap.test('should repeat a trial that did not run', async t => {
  const { clock, cases } = casesAfterEnds('e1', 'e2');
  await clock.advance(2000);
  cases.trialStarted(FP, 1, 2);
  cases.removeTrial(FP, 1);
  t.same(
    cases.verdict(FP),
    { kind: 'held', remainingMs: 2000 },
    'only after the delay, since there may be no endpoint',
  );
  await clock.advance(2000);
  t.same(cases.verdict(FP), { kind: 'trial', number: 1 });
});

await tap.test('should clear a request that was answered', t => {
  const { cases } = casesAfterEnds('e1', 'e2', 'e3');
  cases.cleared(FP);
  t.same(cases.verdict(FP), { kind: 'free' });
  t.equal(cases.count(), 0);
  t.notOk(cases.mayMatch(targetDigest(REQUEST)));
  t.end();
});

await tap.test('should not combine terminations that are far apart', async t => {
  const { clock, cases } = casesAfterEnds('e1');
  await clock.advance(600_000);
  cases.ended(FP, 'e2');
  t.same(cases.verdict(FP), { kind: 'free' });
});

await tap.test('should bound the number of cases', t => {
  const { cases } = casesAfterEnds('e1', 'e2');
  const flood = (i: number): string => requestFingerprint({ ...REQUEST, target: `/${i}` });
  for (let i = 0; i < 5000; i++) {
    cases.ended(flood(i), 'e1');
    if (i % 1000 === 0) cases.ended(FP, `x${i}`);
  }
  t.equal(cases.count(), 2000);
  t.equal(cases.verdict(FP).kind, 'held', 'a case that is marked repeatedly is retained');
  t.notOk(
    cases.mayMatch(targetOfFingerprint(flood(0))),
    'the case that was marked least recently is evicted',
  );
  t.end();
});

await tap.test('should distinguish requests by caller, host, method, path and body', t => {
  const others = [
    { caller: 'k' },
    { host: 'mod' },
    { method: 'GET' },
    { target: '/a?b' },
    { body: Buffer.from('c') },
    { body: undefined },
    { target: '/ab', body: Buffer.from('') },
    { caller: 'POST', method: '' },
  ].map(change => requestFingerprint({ ...REQUEST, ...change }));
  t.equal(new Set([FP, ...others]).size, 9);
  t.equal(requestFingerprint({ ...REQUEST, body: Buffer.from('b') }), FP);
  t.end();
});
