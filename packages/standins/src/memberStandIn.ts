/**
 * The platform's membership list. Changes become visible after a delay.
 */
import * as z from 'zod';
import { StandIn } from './standIn.js';

const hostSchema = z.strictObject({
  id: z.string(),
  domain: z.string(),
  peerAddress: z.string(),
  state: z.enum(['live', 'leaving']),
});
const endpointSchema = z.strictObject({
  id: z.string(),
  domain: z.string(),
  pool: z.string(),
  kind: z.enum(['engine', 'service']),
  url: z.string(),
  slots: z.number(),
  checksFencing: z.boolean(),
  state: z.enum(['live', 'leaving']),
});
const changeSchema = z.strictObject({
  host: hostSchema.optional(),
  endpoint: endpointSchema.optional(),
  remove: z.string().optional(),
});

export type ListedHost = z.infer<typeof hostSchema>;
export type ListedEndpoint = z.infer<typeof endpointSchema>;

interface DomainList {
  revision: number;
  readonly hosts: Map<string, ListedHost>;
  readonly endpoints: Map<string, ListedEndpoint>;
}

export class MemberStandIn extends StandIn {
  private readonly _domains = new Map<string, DomainList>();
  private readonly _lagMs: number;

  constructor(lagMs = 0) {
    super();
    this._lagMs = lagMs;
    this.server.get('/v1/members/:domain', (request, reply) => {
      const { domain } = z.object({ domain: z.string() }).parse(request.params);
      return reply.send(this._document(domain));
    });
    this.server.post('/v1/changes', (request, reply) => {
      this.change(changeSchema.parse(request.body));
      return reply.send({});
    });
  }

  /** Applies a change after `lagMs`. */
  change(change: z.infer<typeof changeSchema>): void {
    if (this._lagMs === 0) this._apply(change);
    else setTimeout(() => this._apply(change), this._lagMs).unref();
  }

  private _apply({ host, endpoint, remove }: z.infer<typeof changeSchema>): void {
    if (host) this._domain(host.domain).hosts.set(host.id, host);
    if (endpoint) this._domain(endpoint.domain).endpoints.set(endpoint.id, endpoint);
    for (const [name, list] of this._domains) {
      const isRemoved = remove !== undefined && (list.hosts.delete(remove) || list.endpoints.delete(remove));
      if (isRemoved || name === host?.domain || name === endpoint?.domain) list.revision += 1;
    }
  }

  private _domain(name: string): DomainList {
    const list = this._domains.get(name) ?? { revision: 0, hosts: new Map(), endpoints: new Map() };
    this._domains.set(name, list);
    return list;
  }

  private _document(domain: string): unknown {
    const list = this._domain(domain);
    const { revision } = list;
    return { domain, revision, hosts: [...list.hosts.values()], endpoints: [...list.endpoints.values()] };
  }
}
