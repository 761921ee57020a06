/**
 * What the gateway needs from outside: typed calls to endpoints, and what it learns of them.
 */
import type { Account } from '@fuchsiahitch/accounts';
import type { PoolScaling } from '@fuchsiahitch/capacity';
import type { GeneratedEvent } from '@fuchsiahitch/batches';
import type { HeaderPair } from '@fuchsiahitch/clients';
import type { UsageReport } from '@fuchsiahitch/metering';
import type { Rule } from '@fuchsiahitch/rules';

export type { HeaderPair };

/** One start of an endpoint, told from others by its identifier and the time of its start. */
export interface EndpointInfo {
  /** Names no other endpoint, but may be kept over a restart. */
  readonly id: string;
  /** Wall time of its start, by its own clock; 0 where it does not say. */
  readonly startWallMs: number;
  /** `IP:port`. Addresses are used again by other endpoints, identifiers are not. */
  readonly address: string;
  readonly pool: string;
  readonly domain: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** The weight version of each model that it has loaded, as of its last heartbeat. */
  readonly versions: ReadonlyMap<string, number>;
}

/** The load that an endpoint states in an answer. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
}

/** A request as it is sent to an endpoint. */
export interface EndpointCall {
  readonly endpoint: EndpointInfo;
  /** The client account that the request is made for; undefined where it is nobody's. */
  readonly accountName: string | undefined;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer | undefined;
  /** How long the caller still waits: the endpoint stops work after it. */
  readonly leftMs: number;
}

/** The head of an endpoint's answer. Reading `body` throws when the answer breaks off. */
export interface EndpointAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  /** The endpoint's proof that the answer is its own; undefined for an answer that carries none. */
  readonly proof: string | undefined;
  readonly isLeaving: boolean;
  readonly load: EndpointLoad | undefined;
  readonly body: AsyncIterable<Buffer>;
}

/** Why a request proves not to have run: no connection was made, the endpoint had no place, or it was another start. */
export type NotRunReason = 'unreachable' | 'refused' | 'other-instance';

/**
 * How a call to an endpoint began. `not-run` is proved: no connection was made, or the endpoint says that it
 * did not run the request. `broken` proves nothing.
 */
export type EndpointReply =
  | { readonly kind: 'answered'; readonly answer: EndpointAnswer }
  | {
      readonly kind: 'not-run';
      readonly reason: NotRunReason;
      readonly load: EndpointLoad | undefined;
    }
  | { readonly kind: 'broken'; readonly text: string }
  | { readonly kind: 'cancelled' };

/** An item of a batch on its way to an endpoint. */
export interface ItemCall {
  readonly endpoint: EndpointInfo;
  readonly itemId: string;
  /** The client account whose batch it is; undefined where that is nobody's. */
  readonly accountName: string | undefined;
  /** The host name of the item's route. */
  readonly host: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** The last event that is known; the endpoint goes on after it. 0 begins anew. */
  readonly afterEvent: number;
  readonly leftMs: number;
}

/** How an attempt at an item ended. */
export type ItemEnd =
  | { readonly kind: 'done' }
  | { readonly kind: 'not-run'; readonly reason: NotRunReason }
  | { readonly kind: 'failed'; readonly status: number }
  /** The endpoint says that the item can never be done. */
  | { readonly kind: 'impossible' }
  | { readonly kind: 'broken'; readonly text: string }
  | { readonly kind: 'cancelled' };

/** What an attempt at an item tells while it runs. */
export interface ItemListener {
  /**
   * The answer's head came: the weight version that generates, undefined if it names none, as where an endpoint has
   * nothing to add to a text. False ends the attempt.
   */
  began(version: number | undefined, load: EndpointLoad | undefined): boolean;
  /** An event is whole. False ends the attempt. */
  event(event: GeneratedEvent): boolean;
}

/** An order to load a version of a model's weights. */
export interface LoadOrder {
  readonly endpoint: EndpointInfo;
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fencingToken: number;
  /** The orders that the endpoint must have accepted before: an order that is carried out late does nothing. */
  readonly expectedSequence: number;
}

/** How an order was answered. `unknown`: it may be carried out, also later; reading back decides. */
export type OrderAnswer = 'accepted' | 'busy' | 'refused' | 'unknown';

/** An endpoint's own word about its weights. */
export interface WeightReport {
  /** Wall time of the start that reports; undefined where it does not say. */
  readonly startWallMs: number | undefined;
  readonly versions: ReadonlyMap<string, number>;
  /** True while it carries out an order. */
  readonly isBusy: boolean;
  /** Orders accepted since its start: an order that expects another number is not carried out. */
  readonly sequence: number;
}

export interface EndpointClient {
  /** The headers of a request that no caller sent: one that this host makes itself. */
  internalRequestHeaders(requestId: string, host: string): readonly HeaderPair[];
  send(call: EndpointCall, signal: AbortSignal): Promise<EndpointReply>;
  runItem(call: ItemCall, listener: ItemListener, signal: AbortSignal): Promise<ItemEnd>;
  report(endpoint: EndpointInfo, timeoutMs: number): Promise<WeightReport | undefined>;
  order(order: LoadOrder, timeoutMs: number): Promise<OrderAnswer>;
  /**
   * True if the start of the endpoint has ended: nobody listens at its address any more. False where that is not certain. Takes
   * a round trip, or at the most some ten milliseconds where the address is silent.
   */
  hasEnded(endpoint: EndpointInfo): Promise<boolean>;
  /** The endpoint at the address has restarted: connections to its former start are not used again. */
  dropConnections(address: string): void;
}

/** Who performs a duty: calls of holders with lower tokens are out of date. */
export interface DutyHolder {
  readonly holder: string;
  readonly fencingToken: number;
}

/**
 * How the platform answered a call that is a duty. `busy`: not now. `refused`: never in this form. `unreached`: it certainly did
 * not arrive. `unknown`: it may have, also later.
 */
export type DutyAnswer = 'accepted' | 'busy' | 'refused' | 'unreached' | 'unknown';

/** `connectMs`: a call that has no connection by then is never sent. */
export interface DutyTimeouts {
  readonly connectMs: number;
  readonly answerMs: number;
}

/** Endpoints that a pool is to have in a failure domain. */
export interface CapacityOrder {
  readonly pool: string;
  readonly domain: string;
  readonly count: number;
}

/** Calls to the platform that one host makes at a time. */
export interface PlatformDuties {
  /** The same report again is harmless; another one for its window is not. */
  reportUsage(act: DutyHolder, report: UsageReport, timeouts: DutyTimeouts): Promise<DutyAnswer>;
  /** `refused` where the platform has no more endpoints now. */
  orderCapacity(act: DutyHolder, order: CapacityOrder, timeouts: DutyTimeouts): Promise<DutyAnswer>;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration, as rules. */
export interface FleetConfiguration {
  readonly revision: number;
  readonly rules: readonly Rule[];
  readonly limits: CallerLimits;
  /** Undefined where the operators name no accounts: then callers need no keys. */
  readonly accounts?: readonly Account[] | undefined;
  /** The models that trainers share the pool's endpoints with, by pool. */
  readonly models: ReadonlyMap<string, readonly string[]>;
  /** Pools whose endpoints can be ordered. */
  readonly scalings?: ReadonlyMap<string, PoolScaling>;
}

/** Reads what stands in the store under the operators' and the endpoints' keys. */
export interface RecordDecoder {
  /** Undefined for a value that is no configuration. */
  configuration(value: string): FleetConfiguration | undefined;
  /** Undefined for a value that describes no endpoint, as one of another writer may. */
  endpoint(id: string, value: string): EndpointInfo | undefined;
  /** An endpoint's record without what changes at each of its heartbeats: the same text as long as there is no news. */
  endpointWithoutHeartbeat(value: string): string;
  /** The newest version that a trainer named for a model. */
  namedVersion(value: string): { readonly model: string; readonly version: number } | undefined;
}

/** Where the operators' and the endpoints' records stand. */
export interface RecordKeys {
  readonly operatorPrefix: string;
  readonly configurationKey: string;
  readonly versionPrefix: string;
  readonly endpointPrefix: string;
}
