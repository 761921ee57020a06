/**
 * Client for the platform's eventually consistent list of the hosts and endpoints of a failure domain.
 */
import type { Deadline } from '@fuchsiahitch/base';
import { request, type Dispatcher } from 'undici';
import { readJson } from './responseBody.js';

export interface MemberList {
  /** Returns the unvalidated document of a failure domain; undefined if the list is unreachable. */
  read(domain: string, deadline: Deadline): Promise<unknown>;
}

const OK_STATUS = 200;
/** Some hundred bytes for each of some thousand members. */
const MAX_LIST_BYTES = 8 * 1024 * 1024;

export class HttpMemberList implements MemberList {
  private readonly _url: string;
  private readonly _agent: Dispatcher;

  constructor(url: string, agent: Dispatcher) {
    this._url = url;
    this._agent = agent;
  }

  async read(domain: string, deadline: Deadline): Promise<unknown> {
    try {
      const response = await request(`${this._url}/v1/members/${domain}`, {
        dispatcher: this._agent,
        signal: AbortSignal.timeout(Math.ceil(deadline.remainingMs())),
      });
      const document = await readJson(response.body, MAX_LIST_BYTES);
      return response.statusCode === OK_STATUS ? document : undefined;
    } catch {
      return undefined;
    }
  }
}
