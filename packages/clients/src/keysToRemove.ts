/**
 * Removal of prefixes from stores that only delete single keys.
 */
import { err, ok, type Deadline, type Result } from '@fuchsiahitch/base';
import type { RevisionedStore, StoreError, Write } from './keyValueStore.js';

/** Returns the keys that the writes delete. Prefixes are listed; `not-done` if a listing fails. */
export async function keysToRemove(
  store: Pick<RevisionedStore, 'list'>,
  writes: readonly Write[],
  deadline: Deadline,
): Promise<Result<readonly string[], StoreError>> {
  const keys: string[] = [];
  for (const write of writes) {
    if (write.kind === 'delete') keys.push(write.key);
    if (write.kind !== 'delete-prefix') continue;
    const found = await store.list(write.prefix, deadline);
    if (!found.ok) return err('not-done');
    keys.push(...found.value.map(item => item.key));
  }
  return ok(keys);
}
