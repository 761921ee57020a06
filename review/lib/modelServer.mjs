// A stand-in of a model server: reports, weight orders, and streams of events that can be resumed.
import { setTimeout as delay } from 'node:timers/promises';
import { answerOf, Server } from './servers.mjs';

const LOAD_MS = 900;

export class ModelServer extends Server {
  /** Ids of the requests that are at work here. */
  runs = new Set();
  sequence = 0;
  version = 1;
  isBusy = false;
  _queue = [];

  constructor(
    id,
    service,
    store,
    {
      slots,
      queue = 0,
      model,
      eventMs,
      eventsOf,
      onRun = () => {},
      onEnd = () => {},
      onRefused = () => {},
      zone,
    },
  ) {
    super(id, service, store, { slots, models: [{ name: model, version: 1, adapters: [] }], zone });
    Object.assign(this, {
      _model: model,
      eventMs,
      _queueSize: queue,
      _eventsOf: eventsOf,
      _onRun: onRun,
      _onEnd: onEnd,
      _onRefused: onRefused,
    });
  }

  onRequest(request, channel) {
    const instance = request.headers['expect-instance'];
    if (instance !== undefined && instance !== this.id) {
      const headers = [`Instance-Id: ${this.id}`];
      return channel.socket.write(answerOf(request, '421 Misdirected Request', { headers }));
    }
    if (request.target === '/v1/report') return this._json(request, channel, this._report());
    if (request.target === '/v1/order') return this.onOrder(request, channel);
    if (this.runs.size < this.slots) return this._stream(request, channel);
    if (this._queue.length >= this._queueSize) return this._refuse(request, channel);
    return this._enqueue(request, channel);
  }

  /** Accepts an order, and has its version after the time of a load. */
  onOrder(request, channel) {
    const { version, expected } = JSON.parse(request.body.toString());
    if (version <= this.version) return channel.socket.write(answerOf(request, '200 OK'));
    const isOther = expected !== undefined && expected !== this.sequence;
    if (this.isBusy || isOther) return channel.socket.write(answerOf(request, '409 Conflict'));
    channel.socket.write(answerOf(request, '202 Accepted'));
    return this.load(version);
  }

  async load(version) {
    this.sequence += 1;
    this.isBusy = true;
    await delay(LOAD_MS);
    this.isBusy = false;
    this.version = version;
    this.models = [{ name: this._model, version, adapters: [] }];
    this.announce();
  }

  _refuse(request, channel) {
    this._onRefused(request.headers['request-id']);
    const headers = ['Not-Executed: 1', this._load()];
    channel.socket.write(answerOf(request, '503 Service Unavailable', { headers }));
  }

  /** Runs the request when a slot is free, unless its channel is closed before. */
  _enqueue(request, channel) {
    const waiting = { request, channel };
    this._queue.push(waiting);
    channel.onClose = () => {
      this._queue = this._queue.filter(other => other !== waiting);
    };
  }

  _json(request, channel, value) {
    const headers = ['Content-Type: application/json'];
    channel.socket.write(answerOf(request, '200 OK', { headers, body: JSON.stringify(value) }));
  }

  _report() {
    const { models, isBusy, sequence, runs } = this;
    const memory = { kv_used: 0, kv_total: 46_116, handles: 0, pinned: 0, held: 0 };
    return {
      stage: 'dual',
      models,
      busy: isBusy,
      seq: sequence,
      queued: this._queue.length,
      running: runs.size,
      ...memory,
    };
  }

  _load() {
    return `Server-Load: ${this.runs.size},${this._queue.length},${this.slots}`;
  }

  async _stream(request, channel) {
    const id = request.headers['request-id'];
    const after = Number(request.headers['last-event-id'] ?? 0);
    const { socket } = channel;
    this.runs.add(id);
    this._onRun(id, after);
    channel.onClose = () => this._endRun(id, channel, 'the channel closed');
    const head = [
      'HTTP/1.1 200 OK',
      `Request-Id: ${id}`,
      `Server-Stamp: ${this.id}.${id}`,
      `Weight-Versions: ${this.version}`,
      this._load(),
      'Content-Type: text/event-stream',
      'Transfer-Encoding: chunked',
    ];
    await delay(this.eventMs);
    if (channel.isClosed) return;
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
    const last = this._eventsOf(id);
    for (let i = after + 1; i <= last && !channel.isClosed; i++) {
      const event = `id: ${i}\ndata: ${id}.${i}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      await delay(this.eventMs);
    }
    if (channel.isClosed) return;
    this._endRun(id, channel, 'complete');
    socket.write('0\r\n\r\n');
  }

  _endRun(id, channel, how) {
    channel.onClose = undefined;
    if (!this.runs.delete(id)) return;
    this._onEnd(id, how);
    const next = this._queue.shift();
    if (next) void this._stream(next.request, next.channel);
  }
}
