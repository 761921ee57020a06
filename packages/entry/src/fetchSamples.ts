/**
 * Fetches the samples that another host keeps of a step.
 */
import { calls } from '@fuchsiahitch/protocol';
import type { Sample } from '@fuchsiahitch/steps';
import type { HostContext } from './hostContext.js';
import type { PeerCaller } from './hostPorts.js';

const PAGE_TIMEOUT_MS = 5000;

/**
 * Reads page after page and returns where it ended. `askedMs` is when a page was asked for: ages count from
 * there, since the reply may lie in this process while it is paused.
 */
export async function fetchSamples(
  context: HostContext,
  peers: PeerCaller,
  source: { readonly address: string; readonly key: string; readonly from: number },
  onSample: (sample: Sample, askedMs: number) => void,
): Promise<number> {
  let { from } = source;
  for (;;) {
    const askedMs = context.clock.nowMs();
    const reply = await peers.call(
      source.address,
      calls.heldSamples,
      { key: source.key, from },
      PAGE_TIMEOUT_MS,
    );
    if (!reply.ok) return from;
    for (const sample of reply.value.samples) onSample(sample, askedMs);
    from = reply.value.next;
    if (!reply.value.hasMore) return from;
  }
}
