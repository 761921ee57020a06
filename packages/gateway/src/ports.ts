/**
 * The gateway's ports: typed calls to endpoints and the platform, and the records that it reads from the store.
 */
import type { Account } from '@fuchsiahitch/accounts';
import type { PoolScaling } from '@fuchsiahitch/capacity';
import type { GeneratedEvent } from '@fuchsiahitch/batches';
import type { HeaderPair } from '@fuchsiahitch/clients';
import type { UsageReport } from '@fuchsiahitch/metering';
import type { Rule } from '@fuchsiahitch/rules';

export type { HeaderPair };

/** One instance of an endpoint, identified by its identifier and start time. */
export interface EndpointInfo {
  /** Unique among endpoints, but may be reused after a restart. */
  readonly id: string;
  /** Wall time of its start by its own clock; 0 if not reported. */
  readonly startWallMs: number;
  /** `IP:port`. Unlike identifiers, addresses are reused by other endpoints. */
  readonly address: string;
  readonly pool: string;
  readonly domain: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** True if the platform may reclaim it at short notice. */
  readonly isReclaimable?: boolean;
  /** The weight version of each loaded model, as of its last heartbeat. */
  readonly versions: ReadonlyMap<string, number>;
}

/** The load that an endpoint reports in an answer. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  /** Duration of work on its machine at this moment in percent of the normal duration; absent if not reported. */
  readonly workPercent?: number | undefined;
}

/** Asked right before the first byte of a request is written to its connection. */
export interface WriteGuard {
  /** Returns false if the request must not be sent any more. */
  mayWrite(): boolean;
}

/** A request as it is sent to an endpoint. */
export interface EndpointCall {
  readonly guard: WriteGuard;
  readonly endpoint: EndpointInfo;
  /** The client account that the request is made for; undefined if it has none. */
  readonly accountName: string | undefined;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: readonly HeaderPair[];
  readonly body: Buffer | undefined;
  /** How long the caller still waits; the endpoint stops work after it. */
  readonly leftMs: number;
}

/** The head of an endpoint's answer. Reading `body` throws if the answer is truncated. */
export interface EndpointAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  /** The endpoint's proof of origin; undefined if the answer carries none. */
  readonly proof: string | undefined;
  readonly isLeaving: boolean;
  readonly load: EndpointLoad | undefined;
  /** Undefined for an answer of unknown length. */
  readonly announcedBytes?: number | undefined;
  readonly body: AsyncIterable<Buffer>;
}

/**
 * Why a request certainly did not run: no connection, no free slot, another instance at the address, or withheld by its
 * guard before it was written.
 */
export type NotRunReason = 'unreachable' | 'refused' | 'other-instance' | 'withheld';

/** What an answer that ended an attempt says about the request it belongs to. */
export interface AnswerOrigin {
  /** Identifier of the request that the answer names; undefined if it names none, or if no answer came. */
  readonly answeredId?: string | undefined;
}

/**
 * The result of sending a request to an endpoint, up to the head of the answer. After `not-run` the request certainly
 * did not run; after `broken` it may have run.
 */
export type EndpointReply =
  | { readonly kind: 'answered'; readonly answer: EndpointAnswer }
  | ({
      readonly kind: 'not-run';
      readonly reason: NotRunReason;
      readonly load: EndpointLoad | undefined;
    } & AnswerOrigin)
  | ({ readonly kind: 'broken'; readonly text: string } & AnswerOrigin)
  | { readonly kind: 'cancelled' };

/** A batch item as it is sent to an endpoint. */
export interface ItemCall {
  readonly guard: WriteGuard;
  readonly endpoint: EndpointInfo;
  readonly itemId: string;
  /** The client account that owns the batch; undefined if it has none. */
  readonly accountName: string | undefined;
  /** The host name of the item's route. */
  readonly host: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** The number of the last event received, after which the endpoint resumes. 0 starts from the beginning. */
  readonly afterEvent: number;
  readonly leftMs: number;
}

export type ItemEnd =
  | { readonly kind: 'done' }
  /** `load`: of the endpoint that refused the item, if it reports one. */
  | ({
      readonly kind: 'not-run';
      readonly reason: NotRunReason;
      readonly load?: EndpointLoad | undefined;
    } & AnswerOrigin)
  | { readonly kind: 'failed'; readonly status: number }
  /** The endpoint reports that the item can never succeed. */
  | { readonly kind: 'impossible' }
  | ({ readonly kind: 'broken'; readonly text: string } & AnswerOrigin)
  | { readonly kind: 'cancelled' };

/** Receives the progress of an item attempt. */
export interface ItemProgressListener {
  /**
   * The answer's head was received. `version` is the generating weight version; undefined if the answer names none,
   * because the endpoint has nothing to add to the text. Returning false ends the attempt.
   */
  began(version: number | undefined, load: EndpointLoad | undefined): boolean;
  /** A complete event was received. Returning false ends the attempt. */
  event(event: GeneratedEvent): boolean;
}

/** An order to load a version of a model's weights. */
export interface LoadOrder {
  readonly endpoint: EndpointInfo;
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fencingToken: number;
  /** The number of orders that the endpoint must have accepted before, so that a delayed order has no effect. */
  readonly expectedSequence: number;
}

/** How an order was answered. `unknown`: it may still be carried out; read the endpoint's report to find out. */
export type OrderAnswer = 'accepted' | 'busy' | 'refused' | 'unknown';

/** An endpoint's own report about its weights. */
export interface WeightReport {
  /** Wall time of the reporting instance's start; undefined if not reported. */
  readonly startWallMs: number | undefined;
  readonly versions: ReadonlyMap<string, number>;
  /** True while it carries out an order. */
  readonly isBusy: boolean;
  /** Number of orders accepted since its start. An order that expects another number is refused. */
  readonly sequence: number;
}

export interface EndpointClient {
  /** The headers of a request that this host makes itself. */
  internalRequestHeaders(requestId: string, host: string): readonly HeaderPair[];
  send(call: EndpointCall, signal: AbortSignal): Promise<EndpointReply>;
  runItem(call: ItemCall, listener: ItemProgressListener, signal: AbortSignal): Promise<ItemEnd>;
  report(endpoint: EndpointInfo, timeoutMs: number): Promise<WeightReport | undefined>;
  order(order: LoadOrder, timeoutMs: number): Promise<OrderAnswer>;
  /**
   * True if the endpoint instance has certainly terminated: its address refuses connections. Takes a round trip, or a
   * timeout of some ten milliseconds if the address is unresponsive.
   */
  hasTerminated(endpoint: EndpointInfo): Promise<boolean>;
  /** Discards the connections to an address whose endpoint has restarted. */
  dropConnections(address: string): void;
}

/** The holder of a duty. Calls with lower fencing tokens are outdated. */
export interface DutyHolder {
  readonly holder: string;
  readonly fencingToken: number;
}

/**
 * How the platform answered a duty call. `busy`: retry later. `refused`: invalid in this form. `unreached`: certainly
 * not received. `unknown`: may have been received, or may still be.
 */
export type DutyAnswer = 'accepted' | 'busy' | 'refused' | 'unreached' | 'unknown';

/** A call without a connection after `connectMs` is not sent. */
export interface DutyTimeouts {
  readonly connectMs: number;
  readonly answerMs: number;
}

/** The number of endpoints that a pool should have in a failure domain. */
export interface CapacityOrder {
  readonly pool: string;
  readonly domain: string;
  readonly count: number;
}

/** Calls to the platform that only one host makes at a time. */
export interface PlatformDuties {
  /** Repeating the same report is harmless; sending a different one for its window is not. */
  reportUsage(holder: DutyHolder, report: UsageReport, timeouts: DutyTimeouts): Promise<DutyAnswer>;
  /** `refused` if the platform has no more endpoints now. */
  orderCapacity(holder: DutyHolder, order: CapacityOrder, timeouts: DutyTimeouts): Promise<DutyAnswer>;
}

/** Size and time limits for callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One revision of the operators' configuration. */
export interface FleetConfiguration {
  readonly revision: number;
  readonly rules: readonly Rule[];
  readonly limits: CallerLimits;
  /** Undefined if the operators configure no accounts; callers then need no keys. */
  readonly accounts?: readonly Account[] | undefined;
  /** The models that share the endpoints of a pool, by pool. */
  readonly models: ReadonlyMap<string, readonly string[]>;
  /** Connections that one endpoint accepts from all hosts together, by pool; absent for pools without a limit. */
  readonly connectionLimits?: ReadonlyMap<string, number>;
  /** Scaling settings of the pools whose endpoints can be ordered. */
  readonly scalings?: ReadonlyMap<string, PoolScaling>;
}

/** Parses the operators' and the endpoints' records in the store. */
export interface RecordDecoder {
  /** Undefined if the value is not a valid configuration. */
  configuration(value: string): FleetConfiguration | undefined;
  /** Undefined if the value is not a valid endpoint record. */
  endpoint(id: string, value: string): EndpointInfo | undefined;
  /** An endpoint's record without the fields that change with each heartbeat, for detecting changes. */
  endpointWithoutHeartbeat(value: string): string;
  /** The newest version named by a trainer for a model. */
  namedVersion(value: string): { readonly model: string; readonly version: number } | undefined;
}

/** The store keys of the operators' and the endpoints' records. */
export interface RecordKeys {
  readonly operatorPrefix: string;
  readonly configurationKey: string;
  readonly versionPrefix: string;
  readonly endpointPrefix: string;
}
