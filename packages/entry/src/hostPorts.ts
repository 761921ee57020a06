/**
 * What connects a host to the outside, as interfaces: real sockets in the daemon, small fakes in tests.
 */
import type { Result } from '@fuchsiahitch/base';
import type { EngineClient, KeyValueStore, MemberList, Scorer, ServiceClient } from '@fuchsiahitch/clients';
import type { CallContext, CallDefinition, CallError } from '@fuchsiahitch/protocol';

/** Calls other hosts. An empty address is a host that is not known. */
export interface PeerCaller {
  call<Q, A>(
    address: string,
    call: CallDefinition<Q, A>,
    request: Q,
    timeoutMs: number,
    trace?: string,
  ): Promise<Result<A, CallError>>;
}

/** Takes the handlers of calls that other hosts make. */
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
  /** Absent where samples are not scored. */
  readonly scorer: Scorer | undefined;
}
