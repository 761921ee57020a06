/** Randomness as an interface, so that a seed makes decisions reproducible. */
import { randomBytes } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

export interface Random {
  /** Returns an integer from 0 (inclusive) to `limit` (exclusive). */
  below(limit: number): number;
  /** Returns a random identifier of 24 hexadecimal digits. */
  id(): string;
}

const ID_BYTES = 12;
const HEX_RADIX = 16;

export class SystemRandom implements Random {
  below(limit: number): number {
    return Math.floor(Math.random() * limit);
  }

  id(): string {
    return randomBytes(ID_BYTES).toString('hex');
  }
}

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
    for (let i = 0; i < ID_BYTES * 2; i++) text += this.below(HEX_RADIX).toString(HEX_RADIX);
    return text;
  }
}
