/**
 * The platform's host list over HTTP: `GET /hosts`, and `PUT` or `DELETE /hosts/<name>` to
 * change it. What readers see lags by a settable time.
 */
import type { ListedHost } from '../../../src/hostList/types.js'
import { listen, type ListeningServer } from '../../../src/http/listen/index.js'
import { readJson, sendJson } from '../../_lib/json.js'

/**
 * @name serveHostList
 * @summary Serves a host list.
 * @param initial - Hosts that are listed from the start.
 * @param options - Address, port and how far the list lags, in milliseconds.
 * @returns The server once it listens.
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
