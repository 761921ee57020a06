/**
 * Collects garbage on demand, if the program was started with `--expose-gc`.
 */
import type { CollectGarbage } from '@fuchsiahitch/limits';

type Collector = (options: { readonly type: 'minor' | 'major' }) => void;

export const collectGarbage: CollectGarbage = kind => {
  const collect = globalThis.gc as Collector | undefined;
  collect?.({ type: kind === 'young' ? 'minor' : 'major' });
};
