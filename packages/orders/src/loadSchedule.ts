/**
 * Prioritizes the due loads of several models in one pool.
 *
 * Each load is that of the model with the smallest share of usable endpoints, so that a running step does not wait for
 * loads that prepare the step of another trainer.
 */
import { endpointsDueForLoad, type LoadCandidate } from './loadChoice.js';

/** The endpoints of one model's share and the version that its trainer named last. */
export interface ModelLoads {
  readonly model: string;
  readonly namedVersion: number;
  readonly candidates: readonly LoadCandidate[];
}

/** One endpoint that should load a version. */
export interface DueLoad {
  readonly id: string;
  readonly model: string;
  readonly version: number;
}

interface ModelQueue {
  readonly loads: ModelLoads;
  readonly due: string[];
  /** Endpoints with a version that the step accepts, including loads that are already sorted. */
  usable: number;
  /** Endpoints with the named version, including loads that are already sorted. */
  fresh: number;
}

/** Returns the due loads of all models, most urgent first. */
export function prioritizeLoads(models: readonly ModelLoads[], allowedLag: number): readonly DueLoad[] {
  const queues = models.map(loads => toQueue(loads, allowedLag));
  const sorted: DueLoad[] = [];
  for (;;) {
    const queue = mostUnderserved(queues);
    const id = queue?.due.shift();
    if (!queue || id === undefined) return sorted;
    const { model, namedVersion, candidates } = queue.loads;
    sorted.push({ id, model, version: namedVersion });
    const version = candidates.find(candidate => candidate.id === id)?.version ?? 0;
    if (version < namedVersion - allowedLag) queue.usable += 1;
    queue.fresh += 1;
  }
}

function toQueue(loads: ModelLoads, allowedLag: number): ModelQueue {
  const { namedVersion, candidates } = loads;
  return {
    loads,
    due: [...endpointsDueForLoad(candidates, namedVersion, allowedLag)],
    usable: candidates.filter(({ version }) => version >= namedVersion - allowedLag).length,
    fresh: candidates.filter(({ version }) => version >= namedVersion).length,
  };
}

function mostUnderserved(queues: readonly ModelQueue[]): ModelQueue | undefined {
  let best: ModelQueue | undefined;
  for (const queue of queues) {
    if (queue.due.length === 0) continue;
    if (!best || isMoreUnderserved(queue, best)) best = queue;
  }
  return best;
}

function isMoreUnderserved(a: ModelQueue, b: ModelQueue): boolean {
  const usable = shareOf(a.usable, a) - shareOf(b.usable, b);
  if (usable !== 0) return usable < 0;
  return shareOf(a.fresh, a) < shareOf(b.fresh, b);
}

function shareOf(count: number, queue: ModelQueue): number {
  return count / queue.loads.candidates.length;
}
