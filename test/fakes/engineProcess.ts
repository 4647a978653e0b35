/**
 * An engine as a process of its own, which can be killed: it begins each answer, with neither a
 * length nor chunks, and never ends it. It tells its parent its address, and each answer that it has begun.
 */
import { encodeBareEvents, servePlatformEngine, buildUnframedHead } from '../../standin/platform/servePlatformEngine/index.js'

const engine = await servePlatformEngine((request, socket) => {
  const nextId = Number(request.headers['last-event-id'] ?? 0) + 1
  const begun = request.path.startsWith('/stream/') ? encodeBareEvents([nextId, nextId + 1]) : 'half an answer'
  socket.write(buildUnframedHead(request) + begun, () => process.send!({ begun: request.headers['request-id'] }))
})
process.send!({ address: engine.address })
