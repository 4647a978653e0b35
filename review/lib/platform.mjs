// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store") and of the
// operator. One revision counter, lists, watches, conditions, and `Store-Era` in all answers.
import http from 'node:http'

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Objects of all kinds at one revision. */
export async function startStore () {
  let objects = new Map()
  let events = []
  let revision = 100
  let era = 1
  let isAway = false
  const waiters = new Set()
  const sockets = new Set()

  const wake = () => { for (const waiter of [...waiters]) waiter() }
  function commit (kind, name, spec, isDeleted = false) {
    revision++
    const object = { metadata: { name, revision, created: revision, finalizers: [], deleting: false }, spec, status: null }
    if (isDeleted) objects.delete(`${kind}/${name}`)
    else objects.set(`${kind}/${name}`, object)
    events.push({ kind, revision, object, deleted: isDeleted })
    wake()
    return object
  }
  const send = (response, status, body) => {
    const bytes = Buffer.from(JSON.stringify(body))
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length, 'Store-Era': String(era) })
    response.end(bytes)
  }
  const eventsAfter = (kind, after) => events.filter(event => event.kind === kind && event.revision > after)

  async function watch (kind, after, waitMs, response) {
    if (after > revision) return send(response, 410, {})
    if (eventsAfter(kind, after).length === 0) {
      await new Promise(resolve => {
        const done = () => { clearTimeout(timer); waiters.delete(check); resolve() }
        const check = () => { if (eventsAfter(kind, after).length > 0) done() }
        const timer = setTimeout(done, waitMs)
        waiters.add(check)
        response.once('close', done)
      })
    }
    if (!response.destroyed) send(response, 200, { events: eventsAfter(kind, after).map(({ object, deleted }) => ({ object, deleted })), as_of: revision })
  }

  const server = http.createServer(async (request, response) => {
    const url = new URL(request.url, 'http://store')
    const [, , kind = '', name] = url.pathname.split('/')
    let text = ''
    for await (const chunk of request) text += chunk
    const body = text === '' ? {} : JSON.parse(text)
    const key = `${kind}/${name ?? body.metadata?.name}`
    const current = objects.get(key)
    if (request.method === 'GET') {
      if (name !== undefined) return current === undefined ? send(response, 404, {}) : send(response, 200, current)
      if (url.searchParams.has('watch')) return await watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait_ms') ?? 0), response)
      const items = [...objects].filter(([k]) => k.startsWith(`${kind}/`)).map(([, object]) => object)
      return send(response, 200, { items, truncated: false, as_of: revision })
    }
    const wanted = body.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined)
    if (request.method === 'POST') return current !== undefined ? send(response, 409, current) : send(response, 201, commit(kind, body.metadata.name, body.spec))
    if (current === undefined) return send(response, 404, {})
    if (wanted !== undefined && wanted !== current.metadata.revision) return send(response, 409, current)
    if (request.method === 'PUT') return send(response, 200, commit(kind, name, body.spec))
    send(response, 200, commit(kind, name, current.spec, true))
  })
  server.keepAliveTimeout = 60_000
  server.on('connection', socket => {
    if (isAway) return socket.resetAndDestroy()
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => sockets.delete(socket))
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    revision: () => revision,
    isAway: () => isAway,
    // Writes of the operator and of engines; refused while the store is away.
    put: (kind, name, spec) => isAway ? false : commit(kind, name, spec),
    remove: (kind, name) => isAway || !objects.has(`${kind}/${name}`) ? false : commit(kind, name, objects.get(`${kind}/${name}`).spec, true),
    copy: () => ({ objects: new Map(objects), revision }),
    leave () {
      isAway = true
      for (const socket of sockets) socket.resetAndDestroy()
    },
    /** Comes back, from an older copy if one is given: revisions go back, the era rises. */
    comeBack (copy) {
      if (copy !== undefined) {
        objects = new Map(copy.objects)
        revision = copy.revision
        events = events.filter(event => event.revision <= copy.revision)
        era++
      }
      isAway = false
    },
    close () { server.close(); server.closeAllConnections() }
  }
}
