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
  | { kind: 'answered', status: number, contentType: string, body: string }
  /** No connection: nothing was sent. */
  | { kind: 'unreachable', cause: string }
  /** Sent, and no whole answer came. */
  | { kind: 'lost', cause: string }

/** Sends calls to services. */
export interface ServiceClient extends AsyncDisposable {
  send: (address: string, call: ServiceCall, options: { timeoutMs: number, signal?: AbortSignal }) => Promise<ServiceResult>
}
