/**
 * Tracing with one span for each hop of a request.
 */

export type SpanName = 'caller' | 'peer' | 'endpoint' | 'scoring' | 'delivery' | 'store';

/** A running span. `traceparent` is passed to the next hop. */
export interface TraceSpan {
  readonly traceparent: string | undefined;
  end(attributes?: Readonly<Record<string, string | number>>): void;
}

export interface SpanRecorder {
  start(name: SpanName, parent: string | undefined): TraceSpan;
}

export class Tracing {
  private readonly _recorder: SpanRecorder | undefined;

  /** Without a recorder nothing is recorded, and `traceparent` is passed on unchanged. */
  constructor(recorder?: SpanRecorder) {
    this._recorder = recorder;
  }

  /** Records spans to a file; an empty name disables tracing and avoids loading OpenTelemetry. */
  static async open(file: string, hostId: string): Promise<Tracing> {
    if (file === '') return new Tracing();
    const { FileSpanRecorder } = await import('./fileSpanRecorder.js');
    return new Tracing(new FileSpanRecorder(file, hostId));
  }

  startSpan(name: SpanName, parent: string | undefined): TraceSpan {
    return this._recorder?.start(name, parent) ?? { traceparent: parent, end: () => undefined };
  }
}
