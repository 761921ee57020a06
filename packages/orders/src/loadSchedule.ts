/**
 * Orders the due loads of several models in one pool.
 *
 * The model with the smallest share of usable endpoints comes first, load by load, so that a running step does not wait
 * for loads that prepare the step of another trainer.
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
  usable: number;
  fresh: number;
}

/** Sorted by urgency. */
export function prioritizeLoads(models: readonly ModelLoads[], allowedLag: number): readonly DueLoad[] {
  const queues = models.map(loads => toQueue(loads, allowedLag));
  const ordered: DueLoad[] = [];
  for (;;) {
    const queue = mostUnderserved(queues);
    const id = queue?.due.shift();
    if (!queue || id === undefined) return ordered;
    const { model, namedVersion, candidates } = queue.loads;
    ordered.push({ id, model, version: namedVersion });
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
  let found: ModelQueue | undefined;
  for (const queue of queues) {
    if (queue.due.length === 0) continue;
    if (!found || isMoreUnderserved(queue, found)) found = queue;
  }
  return found;
}

function isMoreUnderserved(a: ModelQueue, b: ModelQueue): boolean {
  const usable = shareOf(a.usable, a) - shareOf(b.usable, b);
  if (usable !== 0) return usable < 0;
  return shareOf(a.fresh, a) < shareOf(b.fresh, b);
}

function shareOf(count: number, queue: ModelQueue): number {
  return count / queue.loads.candidates.length;
}
