/**
 * Randomness as an interface, so that a seed reproduces every decision.
 */
import { randomBytes } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of randomness. */
export interface Random {
  /** A whole number from 0 (included) to `limit` (excluded). */
  below(limit: number): number;
  /** A short identifier, unique with overwhelming probability. */
  id(): string;
}

const ID_BYTES = 12;
const HEX = 16;

/** Randomness from the operating system. */
export class SystemRandom implements Random {
  below(limit: number): number {
    return Math.floor(Math.random() * limit);
  }

  id(): string {
    return randomBytes(ID_BYTES).toString('hex');
  }
}

/** Reproducible randomness for tests and measurements. */
export class SeededRandom implements Random {
  private readonly _generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this._generator = xoroshiro128plus(seed);
  }

  below(limit: number): number {
    return uniformInt(this._generator, 0, limit - 1);
  }

  id(): string {
    let text = '';
    for (let i = 0; i < ID_BYTES * 2; i++) text += this.below(HEX).toString(HEX);
    return text;
  }
}
