/**
 * The memory and descriptors of a host's machine, divided among everything that clients can make the host hold.
 * docs/design/client-limits.md has the sum.
 */

const BYTES_PER_MB = 1_000_000;
/** The program, its heap at rest and its views of a large fleet. */
const RUNTIME_BYTES = 110 * BYTES_PER_MB;
/** One body of the largest size, and what is kept for small ones. */
const MIN_BODIES_BYTES = 36 * BYTES_PER_MB;
const BODIES_SHARE = 0.4;
/** Some ten batches of a trainer's usual size. */
const MIN_BATCHES_BYTES = 4 * BYTES_PER_MB;
/** Share of what remains without the bodies. */
const BATCHES_SHARE = 0.2;
/** Shares of what remains without bodies and batches. */
const ANSWERS_SHARE = 0.2;
const WAITING_ANSWERS_SHARE = 0.1;
const CONNECTIONS_SHARE = 0.35;
const REQUESTS_SHARE = 0.2;
const GARBAGE_SHARE = 0.15;
/** The least that a machine below the sum of the other parts still gives each part. */
const MIN_REMAINDER_BYTES = 8 * BYTES_PER_MB;
/** Sockets, parser and unfinished head of a connection. */
const CONNECTION_BYTES = 10_000;
/** A request in process without its body. */
const REQUEST_BYTES = 8000;
/** What the connection to an endpoint has read of an answer that is not read on: two reads of 64 KB. */
const WAITING_ANSWER_BYTES = 131_072;

/** Descriptors of files, which include those of the runtime. */
const FILE_DESCRIPTORS = 200;
const MIN_DESCRIPTORS = 128;
/** Shares of the other descriptors. The rest is for connections to endpoints, hosts and the store. */
const CALLERS_SHARE = 0.5;
const PEERS_SHARE = 0.2;
const STATUS_SHARE = 0.05;

/** The limits of the machine, per process. */
export interface MachineLimits {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
}

/** For a machine that states no limits. */
export const DEFAULT_MACHINE: MachineLimits = { memoryMb: 512, maxDescriptors: 4096 };

/** Each part is the most that it may hold. The bytes add up to less than the machine's memory. */
export interface HostBudget {
  readonly runtimeBytes: number;
  /** Requests' bodies, from their first byte until the request ends. */
  readonly bodiesBytes: number;
  /** Batches that are run, as submitted. */
  readonly batchesBytes: number;
  /** Answers that wait for their caller to read them. */
  readonly answersBytes: number;
  /** Answers of endpoints that wait for memory, of which only the beginning has been read. */
  readonly waitingAnswers: number;
  readonly connectionsBytes: number;
  /** Buffers that are no longer used but not yet collected. */
  readonly garbageBytes: number;
  /** Callers' connections, by memory and by descriptors. */
  readonly callerConnections: number;
  /** Requests of callers that are in process or wait behind others of their connection. */
  readonly callerRequests: number;
  readonly peerConnections: number;
  readonly statusConnections: number;
}

/** `runtimeBytes` is what the program takes without clients. */
export function hostBudget(
  { memoryMb, maxDescriptors }: MachineLimits,
  runtimeBytes = RUNTIME_BYTES,
): HostBudget {
  const spareBytes = memoryMb * BYTES_PER_MB - runtimeBytes;
  const bodiesBytes = Math.max(MIN_BODIES_BYTES, BODIES_SHARE * spareBytes);
  const batchesBytes = Math.max(MIN_BATCHES_BYTES, BATCHES_SHARE * (spareBytes - bodiesBytes));
  const remainderBytes = Math.max(MIN_REMAINDER_BYTES, spareBytes - bodiesBytes - batchesBytes);
  const connectionsBytes = CONNECTIONS_SHARE * remainderBytes;
  const descriptors = Math.max(MIN_DESCRIPTORS, maxDescriptors - FILE_DESCRIPTORS);
  return {
    runtimeBytes,
    bodiesBytes,
    batchesBytes,
    answersBytes: ANSWERS_SHARE * remainderBytes,
    waitingAnswers: Math.floor((WAITING_ANSWERS_SHARE * remainderBytes) / WAITING_ANSWER_BYTES),
    connectionsBytes,
    garbageBytes: GARBAGE_SHARE * remainderBytes,
    callerConnections: Math.floor(Math.min(connectionsBytes / CONNECTION_BYTES, CALLERS_SHARE * descriptors)),
    callerRequests: Math.floor((REQUESTS_SHARE * remainderBytes) / REQUEST_BYTES),
    peerConnections: Math.floor(PEERS_SHARE * descriptors),
    statusConnections: Math.floor(STATUS_SHARE * descriptors),
  };
}
