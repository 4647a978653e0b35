/**
 * Interface to plain services: each call is sent once and its response passed through.
 */

/** A call that is passed to a service. */
export interface ServiceCall {
  method: string
  /** Path and query, as sent to the service. */
  path: string
  headers: Record<string, string>
  body: Buffer
}

/** Result of sending a call once. */
export type ServiceResult =
  | { kind: 'answered', status: number, contentType: string, body: Buffer }
  /** No byte of the call left this process. */
  | { kind: 'unreachable', cause: string }
  /** At least one byte may have left this process, and no complete response arrived. */
  | { kind: 'lost', cause: string }

/** Sends calls to services. */
export interface ServiceClient extends AsyncDisposable {
  /** Sends a call once to a service at `address` (`ip:port`). */
  send: (address: string, call: ServiceCall, options: SendOptions) => Promise<ServiceResult>
}

/** Limits of sending a call once. */
export interface SendOptions {
  /** Limit for the whole call, in milliseconds. */
  timeoutMs: number
  signal?: AbortSignal
  /** Checked once connected and before the first byte is sent; `false` ends the send as `unreachable`. */
  mayStart?: () => boolean
}
