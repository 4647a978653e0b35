// A TCP proxy whose open connections can be made to go silent for good, without a reset, while new ones work.
import { connect, createServer } from 'node:net'

export async function startProxy (target) {
  const [host, port] = target.split(':')
  const pairs = new Set()
  const server = createServer({ allowHalfOpen: true }, near => {
    const far = connect({ host, port: Number(port), allowHalfOpen: true })
    const pair = { isSilent: false, near, far }
    pairs.add(pair)
    const forward = (from, to) => {
      from.on('data', bytes => { if (!pair.isSilent) to.write(bytes) })
      from.on('end', () => { if (!pair.isSilent) to.end() })
      from.on('error', () => { if (!pair.isSilent) to.resetAndDestroy() })
      from.on('close', () => { if (!pair.isSilent) to.destroySoon(); pairs.delete(pair) })
    }
    forward(near, far)
    forward(far, near)
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Makes the open connections go silent; returns how many. */
    silence () {
      for (const pair of pairs) pair.isSilent = true
      return pairs.size
    },
    close () { server.close(); for (const { near, far } of pairs) { near.destroy(); far.destroy() } }
  }
}
