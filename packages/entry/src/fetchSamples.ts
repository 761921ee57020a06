/**
 * Fetches the samples of a step that another host has buffered.
 */
import { calls } from '@fuchsiahitch/protocol';
import type { Sample } from '@fuchsiahitch/steps';
import type { HostContext } from './hostContext.js';
import type { PeerCaller } from './hostPorts.js';

const PAGE_TIMEOUT_MS = 5000;

/**
 * Reads all pages and returns the end position. `askedMs` is the time of the request for a page. Ages count from it,
 * because the process may be paused before it handles the reply.
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
