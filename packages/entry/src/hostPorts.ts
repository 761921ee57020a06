/**
 * Interfaces of a host to the network, implemented over sockets in the daemon and by fakes in tests.
 */
import type { Result } from '@fuchsiahitch/base';
import type { EngineClient, KeyValueStore, MemberList, Scorer, ServiceClient } from '@fuchsiahitch/clients';
import type { CallContext, CallDefinition, CallError } from '@fuchsiahitch/protocol';

/** Calls other hosts. An empty address stands for an unknown one: the call fails. */
export interface PeerCaller {
  call<Q, A>(
    address: string,
    call: CallDefinition<Q, A>,
    request: Q,
    timeoutMs: number,
    trace?: string,
  ): Promise<Result<A, CallError>>;
}

/** Registers handlers for calls from other hosts. */
export interface CallRegistry {
  handle<Q, A>(
    call: CallDefinition<Q, A>,
    handler: (request: Q, context: CallContext) => Promise<A> | A,
  ): void;
}

export interface HostPorts {
  readonly peers: PeerCaller;
  readonly registry: CallRegistry;
  readonly list: MemberList;
  readonly store: KeyValueStore;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  /** Undefined if samples are not scored. */
  readonly scorer: Scorer | undefined;
}
