/**
 * Exports OpenTelemetry spans to a file as JSON lines. Loaded only if tracing is enabled.
 */
import fs from 'node:fs';
import { context, trace, type Span, type SpanContext, type Tracer } from '@opentelemetry/api';
import {
  BasicTracerProvider,
  SimpleSpanProcessor,
  type ReadableSpan,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-base';
import type { TraceSpan, SpanName, SpanRecorder } from './tracing.js';

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;

export class FileSpanRecorder implements SpanRecorder {
  private readonly _tracer: Tracer;

  constructor(file: string, hostId: string) {
    const provider = new BasicTracerProvider({
      spanProcessors: [new SimpleSpanProcessor(new FileExporter(file, hostId))],
    });
    this._tracer = provider.getTracer('fuchsiahitch');
  }

  start(name: SpanName, parent: string | undefined): TraceSpan {
    const parentContext = readTraceparent(parent);
    const base = parentContext ? trace.setSpanContext(context.active(), parentContext) : context.active();
    const span = this._tracer.startSpan(name, {}, base);
    return { traceparent: writeTraceparent(span), end: attributes => endSpan(span, attributes) };
  }
}

function endSpan(span: Span, attributes: Readonly<Record<string, string | number>> = {}): void {
  span.setAttributes(attributes);
  span.end();
}

function readTraceparent(text: string | undefined): SpanContext | undefined {
  const match = TRACEPARENT.exec(text ?? '');
  if (!match) return undefined;
  const [, traceId = '', spanId = '', flags = '00'] = match;
  return { traceId, spanId, traceFlags: Number.parseInt(flags, 16), isRemote: true };
}

function writeTraceparent(span: Span): string {
  const { traceId, spanId, traceFlags } = span.spanContext();
  return `00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, '0')}`;
}

/** Appends one line per span. Stops exporting if the file cannot be written. */
class FileExporter implements SpanExporter {
  private readonly _hostId: string;
  private readonly _stream: fs.WriteStream;

  constructor(file: string, hostId: string) {
    this._hostId = hostId;
    this._stream = fs.createWriteStream(file, { flags: 'a' });
    this._stream.on('error', () => this._stream.destroy());
  }

  export(spans: ReadableSpan[], done: (result: { code: number }) => void): void {
    for (const span of spans) {
      if (!this._stream.destroyed) this._stream.write(`${JSON.stringify(this._line(span))}\n`);
    }
    done({ code: 0 });
  }

  async shutdown(): Promise<void> {
    await new Promise<void>(resolve => this._stream.end(resolve));
  }

  private _line(span: ReadableSpan): unknown {
    const { traceId, spanId } = span.spanContext();
    return {
      traceId,
      spanId,
      parentSpanId: span.parentSpanContext?.spanId,
      name: span.name,
      host: this._hostId,
      startTime: span.startTime,
      duration: span.duration,
      attributes: span.attributes,
    };
  }
}
