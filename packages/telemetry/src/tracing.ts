/**
 * A trace with a span for each hop.
 */

/** The hops that have a span of their own. */
export type SpanName = 'caller' | 'peer' | 'endpoint' | 'scoring' | 'delivery' | 'store';

/** One running span. `traceparent` is passed to the next hop. */
export interface TraceSpan {
  readonly traceparent: string | undefined;
  end(attributes?: Readonly<Record<string, string | number>>): void;
}

/** Where spans go. */
export interface SpanRecorder {
  start(name: SpanName, parent: string | undefined): TraceSpan;
}

export class Tracing {
  private readonly _recorder: SpanRecorder | undefined;

  /** Without a recorder nothing is recorded, and `traceparent` is passed on as it came. */
  constructor(recorder?: SpanRecorder) {
    this._recorder = recorder;
  }

  /** Spans as JSON lines in a file; none for an empty name. The library for spans is loaded where there is a file only. */
  static async open(file: string, hostId: string): Promise<Tracing> {
    if (file === '') return new Tracing();
    const { FileSpanRecorder } = await import('./fileSpanRecorder.js');
    return new Tracing(new FileSpanRecorder(file, hostId));
  }

  startSpan(name: SpanName, parent: string | undefined): TraceSpan {
    return this._recorder?.start(name, parent) ?? { traceparent: parent, end: () => undefined };
  }
}
