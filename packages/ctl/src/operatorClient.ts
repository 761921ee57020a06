/**
 * Client for the operator API of the entry hosts.
 */
import { err, ok, type Result } from '@fuchsiahitch/base';
import { request } from 'undici';

const TIMEOUT_MS = 10_000;

export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
  readonly host: string;
}

/** The errors of all hosts. `isSent`: a host may have executed the request. */
export interface Unreachable {
  readonly isSent: boolean;
  readonly problems: readonly string[];
}

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);
const UNAUTHORIZED = 401;

export class OperatorClient {
  private readonly _hosts: readonly string[];
  private readonly _token: string;

  constructor(hosts: readonly string[], token: string) {
    this._hosts = hosts;
    this._token = token;
  }

  /** Tries the hosts in order until one answers. */
  async call(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Result<OperatorAnswer, Unreachable>> {
    const problems: string[] = [];
    let isSent = false;
    for (const host of this._hosts) {
      try {
        return ok(await this._callOne(host, method, path, body));
      } catch (thrown) {
        const code = thrown instanceof Error && 'code' in thrown ? String(thrown.code) : '';
        isSent ||= !NOT_SENT_CODES.has(code);
        problems.push(`${host}: ${code || String(thrown)}`);
      }
    }
    return err({ isSent, problems });
  }

  private async _callOne(
    host: string,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<OperatorAnswer> {
    const response = await request(`${host}${path}`, {
      method,
      headers: { authorization: `Bearer ${this._token}`, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const text = await response.body.text();
    if (response.statusCode === UNAUTHORIZED) throw new Error('the operator token is wrong');
    return { status: response.statusCode, body: JSON.parse(text) as unknown, host };
  }
}
