/**
 * Port to plain services: one call, passed through.
 */

/** A call to a service. */
export interface ServiceCall {
  method: string
  /** Path and query as the service sees them. */
  path: string
  headers: Record<string, string>
  body: Buffer
}

/** What came of one send. */
export type ServiceResult =
  | { kind: 'answered', status: number, contentType: string, body: Buffer }
  /** Not one byte of the call left this process. */
  | { kind: 'unreachable', cause: string }
  /** At least one byte may have left, and no whole answer came. */
  | { kind: 'lost', cause: string }

/** Sends calls to services. */
export interface ServiceClient extends AsyncDisposable {
  send: (address: string, call: ServiceCall, options: SendOptions) => Promise<ServiceResult>
}

/** Limits of one send. */
export interface SendOptions {
  timeoutMs: number
  signal?: AbortSignal
  /** Checked after the connection stands and before the first byte; `false` ends the send as `unreachable`. */
  mayStart?: () => boolean
}
