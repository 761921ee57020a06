/** Parameters of property tests: few runs with a fixed seed in CI, more with `npm run fuzz`. */

const CI_SEED = 20_261_202;

/** Returns fast-check parameters. `ciRuns` applies if `FUZZ_RUNS` is not set. */
export function fuzzRuns(ciRuns: number): { readonly numRuns: number; readonly seed: number } {
  const { FUZZ_RUNS: runs, FUZZ_SEED: seed } = process.env;
  return { numRuns: Number(runs ?? ciRuns), seed: Number(seed ?? CI_SEED) };
}
