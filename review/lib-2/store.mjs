/**
 * Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"): objects by
 * kind, one revision counter, lists, watches, conditional writes.
 */
import http from 'node:http'

const MAX_PAGE = 500

export async function startStore ({ host = '127.0.0.1' } = {}) {
  const objects = new Map()
  const events = []
  const wakers = new Set()
  let revision = 10

  function record (kind, object, deleted) {
    events.push({ kind, revision: object.metadata.revision, object, deleted })
    for (const wake of [...wakers]) wake()
  }

  function put (kind, name, spec) {
    const key = `${kind}/${name}`
    const known = objects.get(key)
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return known
    const object = { metadata: { name, revision: ++revision, created: known?.metadata.created ?? revision, finalizers: [], deleting: false }, spec, status: null }
    objects.set(key, object)
    record(kind, object, false)
    return object
  }

  function remove (kind, name) {
    const known = objects.get(`${kind}/${name}`)
    if (known === undefined) return undefined
    objects.delete(`${kind}/${name}`)
    record(kind, { ...known, metadata: { ...known.metadata, revision: ++revision } }, true)
    return known
  }

  function send (response, status, body) {
    const text = JSON.stringify(body)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'store-era': '1' })
    response.end(text)
  }

  async function watch (kind, from, waitMs, response) {
    const find = () => events.filter(event => event.kind === kind && event.revision > from)
    if (find().length === 0) {
      await new Promise(resolve => {
        const finish = () => { clearTimeout(timer); wakers.delete(wake); resolve() }
        const wake = () => { if (find().length > 0) finish() }
        const timer = setTimeout(finish, waitMs)
        wakers.add(wake)
        response.once('close', finish)
      })
    }
    if (!response.destroyed) send(response, 200, { events: find().map(({ object, deleted }) => ({ object, deleted })), as_of: revision })
  }

  function write (method, kind, name, body, url) {
    const key = `${kind}/${name}`
    const known = objects.get(key)
    const asked = body?.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined)
    if (method === 'POST') return known === undefined ? [200, put(kind, name, body.spec)] : [409, known]
    if (known === undefined) return [404, {}]
    if (asked !== undefined && asked !== known.metadata.revision) return [409, known]
    if (method === 'PUT') return [200, put(kind, name, body.spec)]
    return [200, remove(kind, name)]
  }

  const server = http.createServer(async (request, response) => {
    const url = new URL(request.url, 'http://store')
    const [, , kind = '', name] = url.pathname.split('/')
    if (request.method === 'GET') {
      if (name !== undefined) {
        const object = objects.get(`${kind}/${name}`)
        return send(response, object === undefined ? 404 : 200, object ?? {})
      }
      if (url.searchParams.has('watch')) return await watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait_ms') ?? 0), response)
      const after = url.searchParams.get('after') ?? ''
      const keys = [...objects.keys()].filter(key => key.startsWith(`${kind}/`) && key.slice(kind.length + 1) > after).sort()
      return send(response, 200, { items: keys.slice(0, MAX_PAGE).map(key => objects.get(key)), truncated: keys.length > MAX_PAGE, as_of: revision })
    }
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const text = Buffer.concat(chunks).toString()
    const body = text === '' ? {} : JSON.parse(text)
    const [status, answer] = write(request.method, kind, name ?? body.metadata?.name ?? '', body, url)
    send(response, status, answer)
  })
  server.keepAliveTimeout = 60_000
  await new Promise(resolve => server.listen(0, host, resolve))
  return {
    address: `${host}:${server.address().port}`,
    put,
    remove,
    close () { server.close(); server.closeAllConnections() }
  }
}
