/** How long property tests run: short and always alike in CI, longer by `npm run fuzz`. */

const CI_SEED = 20_261_202;

/** The settings for fast-check; `ciRuns` is the number of runs without the environment variable. */
export function fuzzRuns(ciRuns: number): { readonly numRuns: number; readonly seed: number } {
  const { FUZZ_RUNS: runs, FUZZ_SEED: seed } = process.env;
  return { numRuns: Number(runs ?? ciRuns), seed: Number(seed ?? CI_SEED) };
}
