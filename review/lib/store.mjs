// A stand-in of the platform's store: keys with revisions, transactions, leases and watches, over HTTP.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

const HISTORY_MS = 20_000;
const MAX_PAGE_ITEMS = 500;
const ANSWER_MS = 4;

export class Store {
  _items = new Map();
  _events = [];
  _revision = 1;
  _compactedAt = 0;
  _leases = new Map();
  _nextLease = 1;
  _watchers = new Set();
  _server = http.createServer((request, response) => void this._serve(request, response));

  async listen(ip) {
    await new Promise(resolve => this._server.listen(0, ip, resolve));
    this.address = `${ip}:${this._server.address().port}`;
  }

  close() {
    for (const lease of this._leases.values()) lease.timer.close();
    this._server.closeAllConnections();
    this._server.close();
  }

  /** Writes a key as the operator, a trainer or a server does. Returns when the store confirms it. */
  write(key, value) {
    this._revision += 1;
    this._put(key, Buffer.from(value).toString('base64'), 0);
    this._wake();
    return performance.now();
  }

  remove(key) {
    if (!this._items.has(key)) return;
    this._revision += 1;
    this._delete(key);
    this._wake();
  }

  read(key) {
    const item = this._items.get(key);
    return item && Buffer.from(item.value, 'base64').toString();
  }

  _put(key, value, lease) {
    const created = this._items.get(key)?.created ?? this._revision;
    const item = { key, value, revision: this._revision, created, lease };
    this._items.set(key, item);
    this._log(item);
  }

  _delete(key) {
    if (this._items.delete(key)) this._log({ key, revision: this._revision, deleted: true });
  }

  _log(event) {
    this._events.push({ event, atMs: performance.now() });
    const cutMs = performance.now() - HISTORY_MS;
    while (this._events[0].atMs < cutMs) this._compactedAt = this._events.shift().event.revision;
  }

  _wake() {
    const watchers = [...this._watchers];
    this._watchers.clear();
    for (const wake of watchers) wake();
  }

  async _serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      // The caller has left before the end of its call, which is not carried out.
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url, 'http://store');
    await new Promise(resolve => setTimeout(resolve, ANSWER_MS));
    const [status, body] = await this._answer(request.method, url, text === '' ? {} : JSON.parse(text));
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }

  async _answer(method, url, body) {
    const [, , call, id] = url.pathname.split('/');
    const query = name => url.searchParams.get(name) ?? '';
    switch (`${method} ${call}`) {
      case 'GET kv-key': {
        const item = this._items.get(query('key'));
        return item ? [200, { ...item, store_revision: this._revision }] : [404, {}];
      }
      case 'GET kv-range':
        return [200, this._range(query('prefix'), query('after'))];
      case 'GET kv-watch':
        return this._watch(query('prefix'), Number(query('after')), Number(query('wait_ms')));
      case 'POST kv-txn':
        return this._transact(body);
      case 'POST kv-lease':
        return [200, this._grant(body.ttl_ms)];
      case 'POST kv-keep':
        return this._keep(id);
      case 'DELETE kv-lease-end':
        this._endLease(id);
        return [200, {}];
      default:
        return [404, {}];
    }
  }

  _range(prefix, after) {
    const keys = [...this._items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
    const items = keys.slice(0, MAX_PAGE_ITEMS).map(key => this._items.get(key));
    return { items, has_more: keys.length > items.length, store_revision: this._revision };
  }

  async _watch(prefix, after, waitMs) {
    const endMs = performance.now() + waitMs;
    for (;;) {
      if (after < this._compactedAt) return [410, {}];
      const events = this._events
        .map(({ event }) => event)
        .filter(({ key, revision }) => revision > after && key.startsWith(prefix));
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0) return [200, { events, store_revision: this._revision }];
      await new Promise(resolve => {
        const timer = setTimeout(resolve, leftMs);
        this._watchers.add(() => {
          timer.close();
          resolve();
        });
      });
    }
  }

  _transact({ expected = [], put = [], remove = [] }) {
    const isMet = expected.every(({ key, revision }) => (this._items.get(key)?.revision ?? 0) === revision);
    if (!isMet) return [412, { items: expected.map(({ key }) => this._items.get(key)).filter(Boolean) }];
    if (put.some(({ lease }) => lease > 0 && !this._leases.has(String(lease)))) return [404, {}];
    this._revision += 1;
    for (const { key, value, lease } of put) this._put(key, value, lease ?? 0);
    for (const key of remove) this._delete(key);
    this._wake();
    return [200, { revision: this._revision }];
  }

  _grant(ttlMs) {
    const id = String(this._nextLease++);
    const timer = setTimeout(() => this._endLease(id), ttlMs);
    this._leases.set(id, { ttlMs, timer });
    return { lease: Number(id), ttl_ms: ttlMs };
  }

  _keep(id) {
    const lease = this._leases.get(id);
    if (!lease) return [404, {}];
    lease.timer.refresh();
    return [200, { ttl_ms: lease.ttlMs }];
  }

  _endLease(id) {
    const lease = this._leases.get(id);
    if (!lease) return;
    lease.timer.close();
    this._leases.delete(id);
    const keys = [...this._items.values()].filter(item => String(item.lease) === id).map(({ key }) => key);
    if (keys.length === 0) return;
    this._revision += 1;
    for (const key of keys) this._delete(key);
    this._wake();
  }
}
