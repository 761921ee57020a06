/**
 * Routes by host name and path as ordered rules.
 */
import type { Route, Rule } from './model.js';

/** Where the requests to a host name go whose path begins with a prefix. */
export interface PrefixRoute {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly route: Route;
}

const MAX_ID = 63;

/** The longest prefix of a host decides: the first rule that matches does, so that rules stand in the order of their lengths. */
export function prefixRules(team: string, routes: readonly PrefixRoute[]): readonly Rule[] {
  const ordered = [...routes].sort((a, b) => b.prefix.length - a.prefix.length);
  return ordered.map(({ name, host, prefix, route }, i) => ({
    id: `${i}.${name.toLowerCase().replaceAll(/[^a-z0-9.-]/g, '-')}`.slice(0, MAX_ID),
    team,
    when: { host: [host], pathPrefix: [prefix] },
    then: { route },
  }));
}
