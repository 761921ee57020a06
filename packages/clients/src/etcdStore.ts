/**
 * Key-value store client for etcd's v3 JSON gateway.
 */
import { err, ok, type Deadline, type Result } from '@fuchsiahitch/base';
import { Agent, request, type Dispatcher } from 'undici';
import * as z from 'zod';
import type {
  Compare,
  KeyValueStore,
  StoredValue,
  StoreError,
  TransactionResult,
  WatchEnd,
  WatchEvent,
  Write,
} from './keyValueStore.js';
import { discardBody, readBody } from './responseBody.js';

const MS_PER_SECOND = 1000;
/** Several times the largest answer to a listing. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 1000;
const OK_STATUS = 200;
const LAST_CLIENT_ERROR = 499;
/** Error codes that prove that no byte of the request was sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EAI_AGAIN',
]);

const kvSchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: z.string().default('0'),
});
const rangeSchema = z.object({ kvs: z.array(kvSchema).default([]) });
const txnSchema = z.object({
  succeeded: z.boolean().default(false),
  header: z.object({ revision: z.string() }),
});
const leaseSchema = z.object({ ID: z.string() });
const keepAliveSchema = z.object({ result: z.object({ TTL: z.string().default('0') }) });
const watchSchema = z.object({
  result: z.object({
    canceled: z.boolean().default(false),
    compact_revision: z.string().default('0'),
    events: z.array(z.object({ type: z.string().default('PUT'), kv: kvSchema })).default([]),
  }),
});

export class EtcdStore implements KeyValueStore {
  private readonly _url: string;
  private readonly _agent: Dispatcher;

  constructor(url: string) {
    this._url = url;
    this._agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, connections: 8 });
  }

  async get(key: string, deadline: Deadline): Promise<Result<StoredValue | undefined, StoreError>> {
    const reply = await this._post('/v3/kv/range', { key: encode(key) }, rangeSchema, deadline);
    if (!reply.ok) return reply;
    const [first] = reply.value.kvs;
    return ok(first ? toStored(first) : undefined);
  }

  async list(prefix: string, deadline: Deadline): Promise<Result<readonly StoredValue[], StoreError>> {
    const body = { key: encode(prefix), range_end: encode(prefixEnd(prefix)) };
    const reply = await this._post('/v3/kv/range', body, rangeSchema, deadline);
    return reply.ok ? ok(reply.value.kvs.map(toStored)) : reply;
  }

  async transact(
    compares: readonly Compare[],
    writes: readonly Write[],
    deadline: Deadline,
  ): Promise<Result<TransactionResult, StoreError>> {
    const body = { compare: compares.map(toCompare), success: writes.map(toOperation) };
    const reply = await this._post('/v3/kv/txn', body, txnSchema, deadline);
    if (!reply.ok) return reply;
    return ok({ succeeded: reply.value.succeeded, version: Number(reply.value.header.revision) });
  }

  async grantLease(ttlMs: number, deadline: Deadline): Promise<Result<string, StoreError>> {
    const body = { TTL: String(Math.ceil(ttlMs / MS_PER_SECOND)) };
    const reply = await this._post('/v3/lease/grant', body, leaseSchema, deadline);
    return reply.ok ? ok(reply.value.ID) : reply;
  }

  async keepLease(leaseId: string, deadline: Deadline): Promise<Result<boolean, StoreError>> {
    const reply = await this._post('/v3/lease/keepalive', { ID: leaseId }, keepAliveSchema, deadline);
    return reply.ok ? ok(Number(reply.value.result.TTL) > 0) : reply;
  }

  async watch(
    prefix: string,
    onEvents: (events: readonly WatchEvent[]) => void,
    signal: AbortSignal,
  ): Promise<WatchEnd> {
    const create = { key: encode(prefix), range_end: encode(prefixEnd(prefix)) };
    try {
      const response = await request(`${this._url}/v3/watch`, {
        method: 'POST',
        body: JSON.stringify({ create_request: create }),
        headers: { 'content-type': 'application/json' },
        dispatcher: this._agent,
        bodyTimeout: 0,
        signal,
      });
      if (response.statusCode !== OK_STATUS) {
        discardBody(response.body);
        return 'failed';
      }
      return await readWatch(response.body, onEvents);
    } catch {
      return signal.aborted ? 'closed' : 'failed';
    }
  }

  private async _post<T>(
    path: string,
    body: unknown,
    schema: z.ZodType<T>,
    deadline: Deadline,
  ): Promise<Result<T, StoreError>> {
    if (deadline.isOver()) return err('not-done');
    try {
      const response = await request(`${this._url}${path}`, {
        method: 'POST',
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        dispatcher: this._agent,
        signal: AbortSignal.timeout(Math.ceil(deadline.remainingMs())),
      });
      const text = (await readBody(response.body, MAX_ANSWER_BYTES)).toString('utf8');
      if (response.statusCode !== OK_STATUS)
        return err(response.statusCode <= LAST_CLIENT_ERROR ? 'not-done' : 'unknown');
      const parsed = schema.safeParse(JSON.parse(text));
      return parsed.success ? ok(parsed.data) : err('unknown');
    } catch (thrown) {
      return err(NOT_SENT_CODES.has(errorCode(thrown)) ? 'not-done' : 'unknown');
    }
  }
}

async function readWatch(
  body: AsyncIterable<Buffer>,
  onEvents: (events: readonly WatchEvent[]) => void,
): Promise<WatchEnd> {
  let text = '';
  for await (const chunk of body) {
    text += chunk.toString('utf8');
    if (text.length > MAX_ANSWER_BYTES) return 'failed';
    const lines = text.split('\n');
    text = lines.pop() ?? '';
    for (const line of lines) {
      const parsed = watchSchema.safeParse(JSON.parse(line));
      if (!parsed.success) return 'failed';
      if (parsed.data.result.compact_revision !== '0') return 'compacted';
      if (parsed.data.result.canceled) return 'failed';
      const events = parsed.data.result.events.map(toEvent);
      if (events.length > 0) onEvents(events);
    }
  }
  return 'failed';
}

function toEvent(event: { readonly type: string; readonly kv: z.infer<typeof kvSchema> }): WatchEvent {
  const stored = toStored(event.kv);
  return {
    key: stored.key,
    version: stored.version,
    value: event.type === 'DELETE' ? undefined : stored.value,
  };
}

function toStored(kv: z.infer<typeof kvSchema>): StoredValue {
  return { key: decode(kv.key), value: decode(kv.value), version: Number(kv.mod_revision) };
}

function toCompare(compare: Compare): unknown {
  return { key: encode(compare.key), target: 'MOD', result: 'EQUAL', mod_revision: String(compare.version) };
}

function toOperation(write: Write): unknown {
  switch (write.kind) {
    case 'put': {
      const lease = write.leaseId === undefined ? {} : { lease: write.leaseId };
      return { request_put: { key: encode(write.key), value: encode(write.value), ...lease } };
    }
    case 'delete':
      return { request_delete_range: { key: encode(write.key) } };
    case 'delete-prefix':
      return {
        request_delete_range: { key: encode(write.prefix), range_end: encode(prefixEnd(write.prefix)) },
      };
  }
}

function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function decode(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}

/** Returns the exclusive upper bound of the keys with a prefix, which must end in an ASCII character. */
function prefixEnd(prefix: string): string {
  return prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}

/** Returns the code of an error or of its cause, or an empty string. */
export function errorCode(thrown: unknown): string {
  if (typeof thrown !== 'object' || thrown === null) return '';
  if ('code' in thrown && typeof thrown.code === 'string') return thrown.code;
  return 'cause' in thrown ? errorCode(thrown.cause) : '';
}
