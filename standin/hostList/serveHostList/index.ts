/**
 * Stand-in of the platform's host list over HTTP: `GET /hosts` reads it, `PUT` and
 * `DELETE /hosts/<name>` change it. Changes become visible to readers after a configurable lag.
 */
import type { ListedHost } from '../../../src/hostList/types.js'
import { listen, type ListeningServer } from '../../../src/http/listen/index.js'
import { readJson, sendJson } from '../../_lib/json.js'

/**
 * @name serveHostList
 * @summary Starts an HTTP server for a host list.
 * @param initial - Hosts on the list at the start.
 * @param options - Address, port and the time until a change becomes visible, in milliseconds.
 * @returns The server, once it listens.
 *
 * @example
 * await using server = await serveHostList([], { address: '127.0.0.1', port: 0, lagMs: 0 })
 */
export async function serveHostList (
  initial: ListedHost[],
  options: { address: string, port: number, lagMs: number }
): Promise<ListeningServer> {
  const hosts = new Map(initial.map(host => [host.name, host]))
  let { lagMs } = options
  const startedMs = Date.now()
  let revision = 0

  function scheduleChange (apply: () => void): void {
    const applyChange = (): void => {
      apply()
      revision += 1
    }
    if (lagMs === 0) applyChange()
    else setTimeout(applyChange, lagMs).unref()
  }

  return await listen(async (request, response) => {
    const name = decodeURIComponent((request.url ?? '').slice('/hosts/'.length))
    if (request.url === '/faults') lagMs = ((await readJson(request)) as { lagMs: number }).lagMs
    if (request.method === 'PUT' && name !== '') {
      const host = await readJson(request) as ListedHost
      scheduleChange(() => hosts.set(name, { ...host, name }))
    }
    if (request.method === 'DELETE' && name !== '') scheduleChange(() => hosts.delete(name))
    const etag = `"${startedMs}-${revision}"`
    response.setHeader('etag', etag)
    if (request.headers['if-none-match'] === etag) {
      response.writeHead(304)
      response.end()
      return
    }
    sendJson(response, 200, { hosts: [...hosts.values()] })
  }, options)
}
