/**
 * All bounds on what the clients of one process may make it hold.
 */
import { ReadTurns } from './readTurns.js';

export interface ClientLimitsOptions {
  /** Runs a function after the I/O of the present turn of the event loop. */
  readonly nextTurn: (run: () => void) => void;
}

export class ClientLimits {
  readonly turns: ReadTurns;

  constructor(options: ClientLimitsOptions) {
    this.turns = new ReadTurns(options.nextTurn);
  }
}
