/**
 * Which requests never follow each other on a connection, because their responses name no request or the same one.
 */

/** Keeps requests apart whose late responses could not be told from each other. */
export interface ConnectionSeparation {
  /** Left on the connection of the request. */
  readonly mark: string;
  /** The request is not sent on a connection that has one of these marks. */
  readonly excludedMarks: readonly string[];
}

/** For a request that may be repeated: the response to an earlier attempt names the same request. */
export function separateAttempts(requestId = ''): ConnectionSeparation {
  return { mark: requestId, excludedMarks: [requestId] };
}

export interface SeparatedRequestOptions {
  readonly separation?: ConnectionSeparation | undefined;
}
