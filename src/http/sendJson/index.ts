/**
 * JSON responses and refusals over HTTP.
 */
import type { ServerResponse } from 'node:http'
import { PROBLEM_CONTENT_TYPE, toProblem } from '../../verdict/toProblem/index.js'
import type { Refusal } from '../../verdict/types.js'

/** Milliseconds per second; `Retry-After` is in seconds. */
const MS_PER_S = 1_000

/**
 * @name sendJson
 * @summary Sends a response with a JSON body; does nothing if the response has already begun.
 * @param response - The HTTP response.
 * @param status - HTTP status.
 * @param body - Any JSON value.
 *
 * @example
 * sendJson(response, 200, { revision: 3 })
 */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  if (response.headersSent || response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body) + '\n')
}

/**
 * @name sendRefusal
 * @summary Sends a refusal as problem details; does nothing if the response has already begun.
 * @param response - The HTTP response.
 * @param refusal - The refusal.
 *
 * @example
 * sendRefusal(response, createRefusal('unknownModel'))
 */
export function sendRefusal (response: ServerResponse, refusal: Refusal): void {
  if (response.headersSent || response.destroyed) return
  const problem = toProblem(refusal)
  const retryAfter = refusal.retryAfterMs === undefined
    ? {}
    : { 'retry-after': String(Math.max(1, Math.ceil(refusal.retryAfterMs / MS_PER_S))) }
  response.writeHead(problem.status, { 'content-type': PROBLEM_CONTENT_TYPE, ...retryAfter })
  response.end(JSON.stringify(problem) + '\n')
}
