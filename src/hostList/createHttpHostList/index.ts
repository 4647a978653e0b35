/**
 * Adapter to a host list over HTTP. If the list is served with entity tags, its body is sent again
 * only after a change.
 */
import { Agent, request } from 'undici'
import type { Runtime } from '../../runtime/types.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { HostList, ListedHost } from '../types.js'

/** Options of `createHttpHostList`. */
export interface HttpHostListOptions {
  /** Base URL; the list is at `/hosts` below it. */
  url: string
  /** Deadline of one read. */
  timeoutMs: number
  runtime: Runtime
  /** Called with the size of each response body. */
  onBytes?: (sizeBytes: number) => void
}

/**
 * @name createHttpHostList
 * @summary Opens the platform's host list over HTTP.
 * @param options - URL of the list, deadline of one read and the runtime.
 * @returns The host list; disposing of it closes all connections.
 *
 * @example
 * await using hostList = createHttpHostList({ url, timeoutMs: 1000, runtime })
 */
export function createHttpHostList (options: HttpHostListOptions): HostList {
  const { url, timeoutMs, runtime, onBytes = () => {} } = options
  let cached: { tag: string, hosts: ListedHost[] } | undefined
  const agent = new Agent({ connect: { timeout: timeoutMs } })
  return {
    async read () {
      using deadline = withDeadline(timeoutMs, { runtime })
      try {
        const headers = cached === undefined ? {} : { 'if-none-match': cached.tag }
        const response = await request(`${url}/hosts`, { dispatcher: agent, signal: deadline.signal, headers })
        const text = await response.body.text()
        onBytes(text.length)
        if (response.statusCode === 304 && cached !== undefined) return { kind: 'listed', hosts: cached.hosts }
        if (response.statusCode !== 200) return { kind: 'unavailable', cause: `status ${response.statusCode}` }
        const { hosts } = JSON.parse(text) as { hosts: ListedHost[] }
        const { etag } = response.headers
        cached = typeof etag === 'string' ? { tag: etag, hosts } : undefined
        return { kind: 'listed', hosts }
      } catch (error) {
        return { kind: 'unavailable', cause: (error as Error).message }
      }
    },
    [Symbol.asyncDispose]: () => agent.destroy()
  }
}
