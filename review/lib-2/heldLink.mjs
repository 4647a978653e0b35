/**
 * A link to an engine that can be cut like a partition: while it is cut, all that either side sends is held, the end
 * and the reset of a connection too, and arrives in its order when the link is back.
 */
import net from 'node:net'

export async function startHeldLink ({ host, port, to }) {
  const sockets = new Set()
  /** What happened while the link was cut, to be passed on. */
  const held = []
  let isCut = false
  let openedWhileCut = 0
  const pass = run => { if (isCut) held.push(run); else run() }

  function join (from, other) {
    sockets.add(from)
    from.on('data', bytes => pass(() => other.write(bytes)))
    from.once('end', () => pass(() => other.end()))
    from.on('error', () => pass(() => other.resetAndDestroy()))
    from.once('close', () => sockets.delete(from))
  }

  const server = net.createServer({ allowHalfOpen: true }, caller => {
    if (isCut) openedWhileCut++
    const engine = net.connect({ ...to, allowHalfOpen: true })
    join(caller, engine)
    join(engine, caller)
  })
  await new Promise(resolve => server.listen(port, host, resolve))
  return {
    cut () { isCut = true },
    heal () {
      isCut = false
      for (const run of held.splice(0)) run()
    },
    /** Connections that were opened while the link was cut; in a partition they would hang. */
    openedWhileCut: () => openedWhileCut,
    close () { server.close(); for (const socket of sockets) socket.destroy() }
  }
}
