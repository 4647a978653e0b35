/**
 * Identifies a request by its content, so that all hosts recognize its repeats. What differs from
 * one attempt of a client to the next, such as its id and the time that is left, has no part in it.
 */
import { createHash } from 'node:crypto'

/** Content of a request that its repeats have in common. */
export interface RequestContent {
  method: string
  /** Name of the virtual host that the caller addressed. */
  host: string
  /** Path with the query. */
  path: string
  /** Client account; `undefined` for a request without a known key. */
  account: string | undefined
  promptParts: readonly string[]
  body: Uint8Array
}

/** Length of a fingerprint, in hexadecimal digits; enough that no two requests are mistaken for each other. */
const FINGERPRINT_DIGITS = 32

/**
 * @name fingerprintRequest
 * @summary Computes the fingerprint of a request.
 * @param content - What repeats of the request have in common.
 * @returns The fingerprint, in hexadecimal digits.
 *
 * @example
 * fingerprintRequest({ method: 'GET', host: 'studio.example', path: '/orders/7', account: 'studio', promptParts: [], body })
 */
export function fingerprintRequest ({ method, host, path, account, promptParts, body }: RequestContent): string {
  const head = JSON.stringify([method, host.toLowerCase(), path, account ?? null, promptParts])
  return createHash('sha256').update(`${head}\n`).update(body).digest('hex').slice(0, FINGERPRINT_DIGITS)
}
