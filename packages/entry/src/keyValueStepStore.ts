/**
 * Stores steps in the key-value service. Each write compares the head's version, which fences former owners.
 */
import { Deadline, err, ok, type Clock, type Result } from '@fuchsiahitch/base';
import type { KeyValueStore, StoredValue, Write } from '@fuchsiahitch/clients';
import {
  chunkSchema,
  stepHeadSchema,
  stepSpecSchema,
  type Chunk,
  type StepHead,
  type StepSpec,
  type StepStore,
  type StepStoreError,
  type StoredStep,
} from '@fuchsiahitch/steps';

const CALL_TIMEOUT_MS = 3000;
const MAX_VALUE_BYTES = 1_000_000;

const prefixOf = (key: string): string => `steps/${key}/`;
const headKey = (key: string): string => `${prefixOf(key)}head`;
const specKey = (key: string): string => `${prefixOf(key)}spec`;
const chunkPrefix = (key: string): string => `${prefixOf(key)}chunk/`;

export class KeyValueStepStore implements StepStore {
  private readonly _store: KeyValueStore;
  private readonly _clock: Clock;

  constructor(store: KeyValueStore, clock: Clock) {
    this._store = store;
    this._clock = clock;
  }

  async load(key: string): Promise<Result<StoredStep | undefined, StepStoreError>> {
    const listed = await this._store.list(prefixOf(key), this._deadline());
    return listed.ok ? ok(assemble(key, listed.value)) : err('unavailable');
  }

  async create(key: string, head: StepHead, spec: StepSpec): Promise<Result<number, StepStoreError>> {
    const text = JSON.stringify(spec);
    if (Buffer.byteLength(text) > MAX_VALUE_BYTES) return err('too-large');
    return this._write(key, 0, [
      { kind: 'put', key: headKey(key), value: JSON.stringify(head) },
      { kind: 'put', key: specKey(key), value: text },
    ]);
  }

  async replaceHead(
    key: string,
    headVersion: number,
    head: StepHead,
  ): Promise<Result<number, StepStoreError>> {
    return this._write(key, headVersion, [{ kind: 'put', key: headKey(key), value: JSON.stringify(head) }]);
  }

  async writeChunk(
    key: string,
    headVersion: number,
    chunk: Chunk,
  ): Promise<Result<undefined, StepStoreError>> {
    const chunkKey = chunkPrefix(key) + String(chunk.chunk);
    const value = JSON.stringify(chunk);
    return this._discardVersion(await this._write(key, headVersion, [{ kind: 'put', key: chunkKey, value }]));
  }

  async close(key: string, headVersion: number, head: StepHead): Promise<Result<undefined, StepStoreError>> {
    return this._discardVersion(
      await this._write(key, headVersion, [
        { kind: 'delete-prefix', prefix: chunkPrefix(key) },
        { kind: 'put', key: headKey(key), value: JSON.stringify(head) },
      ]),
    );
  }

  private _discardVersion(written: Result<number, StepStoreError>): Result<undefined, StepStoreError> {
    return written.ok ? ok(undefined) : written;
  }

  private async _write(
    key: string,
    headVersion: number,
    writes: readonly Write[],
  ): Promise<Result<number, StepStoreError>> {
    const compare = { key: headKey(key), version: headVersion };
    const written = await this._store.transact([compare], writes, this._deadline());
    if (!written.ok) return err('unavailable');
    return written.value.succeeded ? ok(written.value.version) : err('fenced');
  }

  private _deadline(): Deadline {
    return Deadline.after(this._clock, CALL_TIMEOUT_MS);
  }
}

function assemble(key: string, values: readonly StoredValue[]): StoredStep | undefined {
  const head = values.find(value => value.key === headKey(key));
  const spec = values.find(value => value.key === specKey(key));
  if (!head || !spec) return undefined;
  const chunks = values
    .filter(value => value.key.startsWith(chunkPrefix(key)))
    .map(value => chunkSchema.parse(JSON.parse(value.value)));
  return {
    head: stepHeadSchema.parse(JSON.parse(head.value)),
    headVersion: head.version,
    spec: stepSpecSchema.parse(JSON.parse(spec.value)),
    chunks,
  };
}
