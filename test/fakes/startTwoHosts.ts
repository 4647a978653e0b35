/**
 * Two gateways in one process, with the platform's store and three plain targets on the loopback
 * interface, and digests that are passed on in memory.
 */
import { createEngineControl } from '../../platform/createEngineControl.js'
import { createPlatformStore } from '../../platform/createPlatformStore.js'
import { createFleetFormat } from '../../platform/decode.js'
import { platformHeaders } from '../../platform/headers.js'
import type { DigestSocket } from '../../src/digest/types.js'
import { createGatewayMetrics } from '../../src/gateway/createGatewayMetrics/index.js'
import { startGateway } from '../../src/gateway/startGateway/index.js'
import { connectSocket } from '../../src/links/connectSocket/index.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import { buildAnswer, servePlatformEngine } from '../../standin/platform/servePlatformEngine/index.js'
import { servePlatformStore } from '../../standin/platform/servePlatformStore/index.js'
import { createTestLog } from './createTestLog.js'
import { findFreePort } from './findFreePort.js'
import { sendCall } from './startTestGateway.js'

const runtime = createSystemRuntime()

/** Digest sockets of hosts in one process; all digests may be lost. */
function createDigestNetwork ({ isLossy }: { isLossy: boolean }) {
  const listeners = new Map<string, (ip: string, bytes: Buffer) => void>()
  return (ip: string): DigestSocket => ({
    send (to, bytes) { if (!isLossy) setImmediate(() => listeners.get(to)?.(ip, bytes)) },
    onMessage (listener) { listeners.set(ip, listener) },
    async [Symbol.asyncDispose] () { listeners.delete(ip) }
  })
}

const connectDirectly = (address: string) => connectSocket(address, { timeoutMs: 100, runtime })

/** Starts two whole gateways, of which the first may be cut off from the targets, in front of three targets. */
export async function startTwoHosts ({ areDigestsLost = false } = {}) {
  const store = await servePlatformStore()
  const targets = await Promise.all([1, 2, 3].map(async index => {
    const standin = await servePlatformEngine((request, socket) => { socket.end(buildAnswer(request, 'done')) })
    store.put('servers', `i-${index}`, { service: 'orders', address: standin.address, zone: 'north', version: 'v1', slots: 100, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 5 })
    return standin
  }))
  const route = (kind: string) => ({ name: kind, host: 'studio.example', path_prefix: `/${kind}/`, kind, timeout_ms: 5_000, target_latency_ms: 2_000, max_attempts: 2, service: 'orders' })
  store.put('config', 'main', {
    version: 1,
    routes: [route('safe'), route('unsafe')],
    services: [{ name: 'orders' }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'studio', api_keys: ['secret'] }]
  })
  const [callerPort, readinessPort, internalPort, metricsPort] = [await findFreePort(), await findFreePort(), await findFreePort(), await findFreePort()]
  const createSocket = createDigestNetwork({ isLossy: areDigestsLost })
  let isCut = false
  const ips = ['127.0.0.1', '127.0.0.2']
  const hosts = await Promise.all(ips.map(async (ip, index) => {
    const log = createTestLog()
    const direct = async (address: string) => {
      if (index === 0 && isCut) throw new Error('connect ECONNREFUSED')
      return await connectDirectly(address)
    }
    const control = createEngineControl({ runtime, log })
    const gateway = await startGateway({
      host: `entry-${index}`,
      ip,
      failureDomain: 'north',
      callerAddress: { address: ip, port: callerPort },
      readinessAddress: { address: ip, port: readinessPort },
      internalAddress: { address: ip, port: internalPort },
      metricsAddress: { address: ip, port: metricsPort },
      seedIps: ips,
      retryRatio: 0.2,
      retryExtra: 196,
      retryWindowMs: 10_000,
      graceMs: 60_000,
      balancerLagMs: 50
    }, {
      store: createPlatformStore({ address: store.address, callTimeoutMs: 60_000, watchWaitMs: 100, watchGraceMs: 60_000, runtime, onCall: () => {} }),
      control: { ...control, isReachable: async target => !(index === 0 && isCut) && await control.isReachable(target) },
      connectDirectly: direct,
      socket: createSocket(ip),
      format: platformHeaders,
      fleetFormat: createFleetFormat(log),
      runtime,
      log,
      metrics: createGatewayMetrics()
    })
    return { gateway, log, address: `${ip}:${callerPort}`, knowsPeer: () => log.recent().some(({ name }) => name === 'memberJoined') }
  }))
  const [cutHost, peer] = hosts as [typeof hosts[0], typeof hosts[0]]
  return {
    targets,
    cutHost,
    peer,
    cut (next: boolean) { isCut = next },
    async [Symbol.asyncDispose] () {
      for (const { gateway } of hosts) await gateway[Symbol.asyncDispose]()
      for (const target of targets) await target[Symbol.asyncDispose]()
      await store[Symbol.asyncDispose]()
    }
  }
}

/** Sends a call until it has the status; the time limit of the test bounds the wait. */
export async function sendUntil (address: string, status: number): Promise<void> {
  while ((await sendCall(address, '/safe/x', {}, '')).status !== status) await new Promise(resolve => { setImmediate(resolve) })
}

/** Waits until both hosts have heard each other's digests; the time limit of the test bounds the wait. */
export async function untilHostsKnowEachOther ({ cutHost, peer }: Awaited<ReturnType<typeof startTwoHosts>>): Promise<void> {
  while (!cutHost.knowsPeer() || !peer.knowsPeer()) await new Promise(resolve => { setImmediate(resolve) })
}

/** Starts two hosts that serve callers and know each other. */
export async function startServingHosts (): ReturnType<typeof startTwoHosts> {
  const hosts = await startTwoHosts()
  await sendUntil(hosts.peer.address, 200)
  await sendUntil(hosts.cutHost.address, 200)
  await untilHostsKnowEachOther(hosts)
  return hosts
}

/** Number of requests that reached the targets. */
export function countReceived ({ targets }: Awaited<ReturnType<typeof startTwoHosts>>): number {
  return targets.reduce((sum, { received }) => sum + received.length, 0)
}
