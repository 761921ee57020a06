/**
 * Which endpoints load a newly named version now, and which keep the one they have.
 *
 * A step accepts tokens that are a version old. If every endpoint loaded every version, each step would begin
 * while its endpoints load, and what runs on them would be cut. So half of a model's endpoints load one version
 * and the other half the next: each load falls on endpoints that the running step may not use anyway, no run is
 * cut, and there are half as many loads. On a simulated day at high load the share of groups that were read in
 * time rose; docs/design/platform.md has the figures.
 */

/** An endpoint of one model's share. */
export interface LoadCandidate {
  readonly id: string;
  readonly version: number;
  /** Requests that it runs: the idlest loads first. */
  readonly load: number;
}

/** The share of endpoints that has the newest version at least. */
const FRESH_SHARE = 0.5;

/** The endpoints that should have the version by now, the most urgent first. */
export function dueForLoad(
  candidates: readonly LoadCandidate[],
  named: number,
  allowedLag: number,
): readonly string[] {
  const behind = candidates.filter(candidate => candidate.version < named);
  const stale = behind.filter(candidate => candidate.version < named - allowedLag);
  const usable = behind.filter(candidate => candidate.version >= named - allowedLag);
  const wanted = Math.ceil(candidates.length * FRESH_SHARE);
  const fresh = candidates.length - behind.length;
  const missing = Math.max(0, wanted - fresh - stale.length);
  const chosen = [...stale].sort(byVersionThenLoad);
  chosen.push(...[...usable].sort(byVersionThenLoad).slice(0, missing));
  return chosen.map(candidate => candidate.id);
}

function byVersionThenLoad(a: LoadCandidate, b: LoadCandidate): number {
  return a.version - b.version || a.load - b.load || (a.id < b.id ? -1 : 1);
}
