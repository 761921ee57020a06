/**
 * Fetches the samples of a step that another host holds in its buffer.
 */
import { calls } from '@fuchsiahitch/protocol';
import type { Sample } from '@fuchsiahitch/steps';
import type { HostContext } from './hostContext.js';
import type { PeerCaller } from './hostPorts.js';

const PAGE_TIMEOUT_MS = 5000;

/**
 * Reads all pages and returns the position after the last one. `requestedMs` is the time at which the page of a sample
 * was requested: ages count from it, because this process may be paused before it handles the reply.
 */
export async function fetchSamples(
  context: HostContext,
  peers: PeerCaller,
  source: { readonly address: string; readonly key: string; readonly from: number },
  onSample: (sample: Sample, requestedMs: number) => void,
): Promise<number> {
  let { from } = source;
  for (;;) {
    const requestedMs = context.clock.nowMs();
    const reply = await peers.call(
      source.address,
      calls.heldSamples,
      { key: source.key, from },
      PAGE_TIMEOUT_MS,
    );
    if (!reply.ok) return from;
    for (const sample of reply.value.samples) onSample(sample, requestedMs);
    from = reply.value.next;
    if (!reply.value.hasMore) return from;
  }
}
