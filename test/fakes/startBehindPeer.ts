/**
 * A gateway whose own links to its targets are lost, so that it reaches them through a peer.
 */
import type { Target } from '../../src/fleet/types.js'
import { listen } from '../../src/http/listen/index.js'
import { connectSocket } from '../../src/links/connectSocket/index.js'
import { createRelayHandler } from '../../src/links/createRelayHandler/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { pollInput } from '../../src/runtime/pollInput/index.js'
import { servePlatformEngine, type EngineScript } from '../../standin/platform/servePlatformEngine/index.js'
import { createManualRuntime } from './createManualRuntime.js'
import { startTestGateway, TEST_CONFIGURATION } from './startTestGateway.js'

/** The test configuration with a model that one engine can hold. */
export const WHOLE_MODEL = { ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map(service => service.model === undefined ? service : { ...service, model: { ...service.model, layerMb: 100 } }) }

/** An engine that holds the whole model. */
export const buildWholeEngine = (id: string, address: string, failureDomain = 'north'): Target => ({ id, service: 'model', address, failureDomain, bornMs: 1, isLeaving: false, kind: 'large', slots: 134, layers: { from: 0, to: 80 } })

export const buildPlainTarget = (id: string, address: string, failureDomain = 'north'): Target => ({ id, service: 'orders', address, failureDomain, bornMs: 1, isLeaving: false, slots: 6 })

const runtime = createSystemRuntime()

/** A gateway that reaches its targets only through a peer, which passes on each target's bytes; no time limit of its links passes. */
export async function startBehindPeer (scripts: EngineScript[], { endsAfterHeads = 0, isEarlierBuild = false }: { endsAfterHeads?: number, isEarlierBuild?: boolean } = {}) {
  const engines = await Promise.all(scripts.map(servePlatformEngine))
  const targets = engines.flatMap(({ address }, index) => [buildWholeEngine(`i-${index + 1}`, address), buildPlainTarget(`p-${index + 1}`, address)])
  let heads = 0
  /** Closes the relayed connections as the kernel does for a process that has ended. */
  const onAnswerHead = async (): Promise<void> => {
    if (heads++ >= endsAfterHeads) return
    await pollInput()
    await handler[Symbol.asyncDispose]()
  }
  const handler = createRelayHandler({ targets: () => targets, runtime, maxAgeMs: () => 20_000, connect: address => connectSocket(address, { timeoutMs: 1_000, runtime }), onAnswerHead, onResult: () => {} })
  const peer = await listen(async (_request, response) => { response.end() }, {
    address: '127.0.0.1',
    port: 0,
    onConnect (request, stream, head) {
      // An earlier build passes over the header.
      if (isEarlierBuild) delete request.headers['relay-framing']
      handler.handle(request, stream, head)
    }
  })
  const gateway = await startTestGateway(targets, { configuration: WHOLE_MODEL, connectDirectly: () => Promise.reject(new Error('cut')), control: { isReachable: async () => false }, relays: [peer.address], linksRuntime: createManualRuntime() })
  return {
    gateway,
    engines,
    peerAddress: peer.address,
    async [Symbol.asyncDispose] () {
      await gateway[Symbol.asyncDispose]()
      await handler[Symbol.asyncDispose]()
      await peer[Symbol.asyncDispose]()
      for (const standin of engines) await standin[Symbol.asyncDispose]()
    }
  }
}
