/**
 * A key-value service that implements the part of etcd's v3 JSON gateway that the system uses.
 */
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { ServerResponse } from 'node:http';
import * as z from 'zod';
import { StandIn } from './standIn.js';

const MS_PER_SECOND = 1000;
const LEASE_SCAN_MS = 200;

const rangeSchema = z.object({ key: z.string(), range_end: z.string().default('') });
const putSchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  lease: z.string().default('0'),
});
const operationSchema = z.object({
  request_put: putSchema.optional(),
  request_delete_range: rangeSchema.optional(),
});
const txnSchema = z.object({
  compare: z
    .array(z.object({ key: z.string(), target: z.literal('MOD'), mod_revision: z.string().default('0') }))
    .default([]),
  success: z.array(operationSchema).default([]),
});
const leaseSchema = z.object({ ID: z.string() });
const grantSchema = z.object({ TTL: z.coerce.number() });
const watchSchema = z.object({ create_request: rangeSchema });

interface Entry {
  readonly value: string;
  readonly modRevision: number;
  readonly leaseId: string;
}

interface Watch {
  readonly key: string;
  readonly rangeEnd: string;
  readonly response: ServerResponse;
}

interface Lease {
  readonly ttlMs: number;
  untilMs: number;
}

/** Numbers of calls by kind. */
export interface CallCounts {
  reads: number;
  writes: number;
  watches: number;
}

export class KeyValueStandIn extends StandIn {
  readonly counts: CallCounts = { reads: 0, writes: 0, watches: 0 };
  private readonly _entries = new Map<string, Entry>();
  private readonly _watches = new Set<Watch>();
  private readonly _leases = new Map<string, Lease>();
  private _revision = 1;
  private _nextLease = 1;
  private _savedContent:
    { readonly entries: ReadonlyMap<string, Entry>; readonly revision: number } | undefined;

  constructor() {
    super();
    this.server.post('/v3/kv/range', (request, reply) => this._range(request, reply));
    this.server.post('/v3/kv/txn', (request, reply) => this._txn(request, reply));
    this.server.post('/v3/lease/grant', (request, reply) => this._grant(request, reply));
    this.server.post('/v3/lease/keepalive', (request, reply) => this._renewLease(request, reply));
    this.server.post('/v3/watch', (request, reply) => this._watch(request, reply));
    this.server.get('/counts', () => this.counts);
    this.repeat(LEASE_SCAN_MS, () => this._expireLeases());
  }

  /** Saves the current content for `restore`. */
  save(): void {
    this._savedContent = { entries: new Map(this._entries), revision: this._revision };
  }

  /** Restores the saved content and closes all watches, as a restore from a backup does. */
  restore(): void {
    if (!this._savedContent) return;
    this._entries.clear();
    for (const [key, entry] of this._savedContent.entries) this._entries.set(key, entry);
    for (const watch of this._watches) watch.response.destroy();
  }

  private _sendReply(reply: FastifyReply, body: unknown): FastifyReply {
    if (this.faults.consume('loseAnswers')) {
      reply.raw.socket?.destroy();
      return reply;
    }
    return reply.send(body);
  }

  private _range(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    this.counts.reads += 1;
    const range = rangeSchema.parse(request.body);
    const kvs = this._keysIn(range).map(key => this._toKv(key));
    return this._sendReply(reply, { header: this._header(), kvs, count: String(kvs.length) });
  }

  private _txn(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    this.counts.writes += 1;
    const txn = txnSchema.parse(request.body);
    const areComparesMet = txn.compare.every(
      ({ key, mod_revision }) => this._modRevision(key) === Number(mod_revision),
    );
    if (areComparesMet) {
      this._revision += 1;
      for (const operation of txn.success) this._apply(operation);
    }
    return this._sendReply(reply, { header: this._header(), succeeded: areComparesMet });
  }

  private _grant(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    this.counts.writes += 1;
    const { TTL } = grantSchema.parse(request.body);
    const id = String(this._nextLease++);
    this._leases.set(id, { ttlMs: TTL * MS_PER_SECOND, untilMs: performance.now() + TTL * MS_PER_SECOND });
    return this._sendReply(reply, { header: this._header(), ID: id, TTL: String(TTL) });
  }

  private _renewLease(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    this.counts.writes += 1;
    const { ID } = leaseSchema.parse(request.body);
    const lease = this._leases.get(ID);
    if (lease) lease.untilMs = performance.now() + lease.ttlMs;
    const TTL = String((lease?.ttlMs ?? 0) / MS_PER_SECOND);
    return this._sendReply(reply, { result: { header: this._header(), ID, TTL } });
  }

  private _watch(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    this.counts.watches += 1;
    const { key, range_end: rangeEnd } = watchSchema.parse(request.body).create_request;
    reply.hijack();
    reply.raw.writeHead(200, { 'content-type': 'application/json' });
    reply.raw.write(`${JSON.stringify({ result: { header: this._header(), created: true } })}\n`);
    const watch = { key, rangeEnd, response: reply.raw };
    this._watches.add(watch);
    reply.raw.on('close', () => this._watches.delete(watch));
    return reply;
  }

  private _apply(operation: z.infer<typeof operationSchema>): void {
    if (operation.request_put) {
      const { key, value, lease } = operation.request_put;
      this._entries.set(key, { value, modRevision: this._revision, leaseId: lease });
      this._notify('PUT', key);
    }
    if (operation.request_delete_range) {
      for (const key of this._keysIn(operation.request_delete_range)) this._remove(key);
    }
  }

  private _remove(key: string): void {
    this._entries.delete(key);
    this._notify('DELETE', key);
  }

  private _notify(type: 'PUT' | 'DELETE', key: string): void {
    if (this.faults.current.areWatchesSilent || this.faults.current.isDown) return;
    const kv = type === 'PUT' ? this._toKv(key) : { key, mod_revision: String(this._revision) };
    const line = `${JSON.stringify({ result: { header: this._header(), events: [{ type, kv }] } })}\n`;
    for (const watch of this._watches) {
      if (isInRange(key, watch.key, watch.rangeEnd)) watch.response.write(line);
    }
  }

  private _expireLeases(): void {
    const nowMs = performance.now();
    for (const [id, lease] of this._leases) {
      if (lease.untilMs > nowMs) continue;
      this._leases.delete(id);
      const keys = [...this._entries].filter(([, entry]) => entry.leaseId === id).map(([key]) => key);
      if (keys.length > 0) this._revision += 1;
      for (const key of keys) this._remove(key);
    }
  }

  private _keysIn(range: { readonly key: string; readonly range_end: string }): readonly string[] {
    const keys = [...this._entries.keys()].filter(key => isInRange(key, range.key, range.range_end));
    return keys.sort((a, b) => Buffer.compare(decodeKey(a), decodeKey(b)));
  }

  private _modRevision(key: string): number {
    return this._entries.get(key)?.modRevision ?? 0;
  }

  private _toKv(key: string): unknown {
    const entry = this._entries.get(key);
    return { key, value: entry?.value, mod_revision: String(entry?.modRevision ?? 0), lease: entry?.leaseId };
  }

  private _header(): unknown {
    return { revision: String(this._revision) };
  }
}

function decodeKey(base64: string): Buffer {
  return Buffer.from(base64, 'base64');
}

function isInRange(key: string, start: string, end: string): boolean {
  if (end === '') return key === start;
  const keyBytes = decodeKey(key);
  return Buffer.compare(keyBytes, decodeKey(start)) >= 0 && Buffer.compare(keyBytes, decodeKey(end)) < 0;
}
