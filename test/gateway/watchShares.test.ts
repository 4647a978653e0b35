import test from 'ava'
import { createFleetFormat } from '../../platform/decode.js'
import { platformHeaders } from '../../platform/headers.js'
import type { DigestSocket } from '../../src/digest/types.js'
import { createGatewayMetrics } from '../../src/gateway/createGatewayMetrics/index.js'
import { startGateway, type Gateway } from '../../src/gateway/startGateway/index.js'
import type { ObjectStore, WatchOptions } from '../../src/objectApi/types.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { createTestLog } from '../fakes/createTestLog.js'
import { findFreePort } from '../fakes/findFreePort.js'

const IPS = ['127.0.0.1', '127.0.0.2']
const runtime = createSystemRuntime()

/** Sockets of hosts that hear each other at once. */
function connectHosts (): Map<string, DigestSocket> {
  const listeners = new Map<string, Array<(ip: string, bytes: Buffer) => void>>(IPS.map(ip => [ip, []]))
  return new Map(IPS.map(ip => [ip, {
    send (to, bytes) { for (const listener of listeners.get(to) ?? []) setImmediate(listener, ip, bytes) },
    onMessage (listener) { listeners.get(ip)!.push(listener) },
    async [Symbol.asyncDispose] () {}
  }]))
}

/** A store whose configuration changes all the time, without a meaning, while `onWatch` wants more watches. It is told the share of the wait that each takes. */
function createWatchedStore (onWatch: (share: number) => boolean): ObjectStore {
  let revision = 1
  return {
    read: async () => ({ kind: 'absent' }),
    list: async () => ({ kind: 'listed', revision, objects: [] }),
    write: async () => ({ kind: 'written', version: 1 }),
    remove: async () => ({ kind: 'written', version: 1 }),
    watch (prefix, _afterRevision, { signal, waitShare = 1 }: WatchOptions) {
      return new Promise(resolve => {
        if (prefix === 'config/' && onWatch(waitShare)) setImmediate(() => resolve({ kind: 'changes', revision: ++revision, objects: [{ key: 'config/other', version: revision, value: {} }] }))
        else signal.addEventListener('abort', () => resolve({ kind: 'unavailable', cause: 'aborted' }), { once: true })
      })
    },
    async [Symbol.asyncDispose] () {}
  }
}

// Guards against watches of all hosts that begin, and go silent, together: an older configuration stayed in force at all of them (CONFIG, case 5 of the review).
test('gateways that watch the configuration wait for different shares of the time', async t => {
  const sockets = connectHosts()
  const shares = new Map<string, number>()
  const areDifferent = (): boolean => new Set(shares.values()).size === IPS.length
  let noteDifferent = (): void => {}
  const different = new Promise<void>(resolve => { noteDifferent = resolve })
  const log = createTestLog()
  const start = async (ip: string): Promise<Gateway> => await startGateway({
    host: ip,
    ip,
    failureDomain: 'north',
    callerAddress: { address: ip, port: await findFreePort() },
    readinessAddress: { address: ip, port: await findFreePort() },
    internalAddress: { address: ip, port: await findFreePort() },
    metricsAddress: { address: ip, port: await findFreePort() },
    seedIps: IPS,
    retryRatio: 0.2,
    retryExtra: 196,
    retryWindowMs: 10_000,
    graceMs: 60_000,
    balancerLagMs: 50
  }, {
    store: createWatchedStore(share => {
      shares.set(ip, share)
      if (areDifferent()) noteDifferent()
      return !areDifferent()
    }),
    control: { report: async () => undefined, place: async () => ({ kind: 'begun' }), repath: async () => ({ kind: 'done' }), isReachable: async () => true },
    connectDirectly: () => Promise.reject(new Error('not used')),
    socket: sockets.get(ip)!,
    format: platformHeaders,
    fleetFormat: createFleetFormat(log),
    runtime,
    log,
    metrics: createGatewayMetrics()
  })
  const gateways = [await start(IPS[0]!), await start(IPS[1]!)]
  await different
  t.deepEqual([...shares.values()].sort(), [0.5, 1])
  for (const gateway of gateways) await gateway[Symbol.asyncDispose]()
})
