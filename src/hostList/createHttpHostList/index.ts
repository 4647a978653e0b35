/**
 * Adapter to a host list that speaks HTTP. A list that gives entity tags is read again only when
 * it changed.
 */
import { Agent, request } from 'undici'
import type { Runtime } from '../../runtime/types.js'
import { withDeadline } from '../../runtime/withDeadline/index.js'
import type { HostList, ListedHost } from '../types.js'

/** How the adapter reaches the host list. */
export interface HttpHostListOptions {
  url: string
  timeoutMs: number
  runtime: Runtime
  /** Called with the size of each body read. */
  onBytes?: (sizeBytes: number) => void
}

/**
 * @name createHttpHostList
 * @summary The platform's host list over HTTP.
 * @param options - Address of the list, deadline of one read and the runtime.
 * @returns The host list; its disposal closes every connection.
 *
 * @example
 * await using hostList = createHttpHostList({ url, timeoutMs: 1000, runtime })
 */
export function createHttpHostList (options: HttpHostListOptions): HostList {
  const { url, timeoutMs, runtime, onBytes = () => {} } = options
  let known: { tag: string, hosts: ListedHost[] } | undefined
  const agent = new Agent({ connect: { timeout: timeoutMs } })
  return {
    async read () {
      using deadline = withDeadline(timeoutMs, { runtime })
      try {
        const headers = known === undefined ? {} : { 'if-none-match': known.tag }
        const response = await request(`${url}/hosts`, { dispatcher: agent, signal: deadline.signal, headers })
        const text = await response.body.text()
        onBytes(text.length)
        if (response.statusCode === 304 && known !== undefined) return { kind: 'listed', hosts: known.hosts }
        if (response.statusCode !== 200) return { kind: 'unavailable', cause: `status ${response.statusCode}` }
        const { hosts } = JSON.parse(text) as { hosts: ListedHost[] }
        const { etag } = response.headers
        known = typeof etag === 'string' ? { tag: etag, hosts } : undefined
        return { kind: 'listed', hosts }
      } catch (error) {
        return { kind: 'unavailable', cause: (error as Error).message }
      }
    },
    [Symbol.asyncDispose]: () => agent.destroy()
  }
}
