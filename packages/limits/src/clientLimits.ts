/**
 * All bounds on what the clients of one process may make it hold, made from one budget.
 */
import type { Clock } from '@fuchsiahitch/base';
import { AnswerBudget } from './answerBudget.js';
import { BodyBudget } from './bodyBudget.js';
import type { ConnectionEnd, ConnectionLimitOptions } from './connectionLimit.js';
import { GarbageLimit, type CollectGarbage } from './garbageLimit.js';
import type { HostBudget } from './hostBudget.js';
import { LimitReport, type ClientLimit, type LimitLine } from './limitReport.js';
import { ReadTurns } from './readTurns.js';
import { RequestLimit } from './requestLimit.js';

const LIMIT_OF_END: Readonly<Record<ConnectionEnd, ClientLimit>> = {
  connections: 'connections',
  heads: 'head-memory',
};

export interface ClientLimitsOptions {
  readonly clock: Clock;
  readonly budget: HostBudget;
  /** How long a client may pause within a body. */
  readonly idleTimeoutMs: () => number;
  readonly collectGarbage: CollectGarbage;
  /** Runs a function after the I/O of the present turn of the event loop. */
  readonly nextTurn: (run: () => void) => void;
  readonly count: (limit: ClientLimit) => void;
  readonly write: (line: LimitLine) => void;
}

export class ClientLimits {
  readonly budget: HostBudget;
  readonly bodies: BodyBudget;
  readonly answers: AnswerBudget;
  readonly garbage: GarbageLimit;
  readonly turns: ReadTurns;
  readonly requests: RequestLimit;
  readonly report: LimitReport;
  private readonly _clock: Clock;

  constructor(options: ClientLimitsOptions) {
    const { clock, budget, idleTimeoutMs } = options;
    this.budget = budget;
    this.bodies = new BodyBudget({ clock, totalBytes: budget.bodiesBytes, idleTimeoutMs });
    this.garbage = new GarbageLimit(budget.garbageBytes, options.collectGarbage);
    this.turns = new ReadTurns(options.nextTurn);
    this.requests = new RequestLimit(budget.callerRequests);
    this.report = new LimitReport(clock, options.count, options.write);
    this.answers = new AnswerBudget({
      clock,
      totalBytes: budget.answersBytes,
      maxWaiting: budget.waitingAnswers,
      garbage: this.garbage,
      closed: client => this.report.refused('answer-unread', client),
    });
    this._clock = clock;
  }

  /** The limit on the connections of a listener for callers. */
  connections<T extends { readonly address: string }>(maxConnections: number): ConnectionLimitOptions<T> {
    return {
      clock: this._clock,
      maxConnections,
      maxHeadBytes: this.budget.connectionsBytes,
      closed: (reason, { address }) => this.report.refused(LIMIT_OF_END[reason], address),
    };
  }
}
