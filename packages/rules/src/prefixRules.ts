/** Converts routes by host name and path to ordered rules. */
import type { Route, Rule } from './model.js';

/** The route of requests to a host name whose path begins with a prefix. */
export interface PrefixRoute {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly route: Route;
}

const MAX_ID_LENGTH = 63;

/** Returns one rule per route, longest prefix first, so that the longest matching prefix decides. */
export function prefixRules(team: string, routes: readonly PrefixRoute[]): readonly Rule[] {
  const ordered = [...routes].sort((a, b) => b.prefix.length - a.prefix.length);
  return ordered.map(({ name, host, prefix, route }, i) => ({
    id: `${i}.${name.toLowerCase().replaceAll(/[^a-z0-9.-]/g, '-')}`.slice(0, MAX_ID_LENGTH),
    team,
    when: { host: [host], pathPrefix: [prefix] },
    then: { route },
  }));
}
