/**
 * Gossip of one daemon: it exchanges members, target notices and the head revision with its peers,
 * and configurations on request. Each stream has its own task, which sends what changed at each
 * interval and shortly after an urgent change. The streams also serve as failure detector: a daemon
 * suspects a neighbour that falls silent.
 */
import { setMaxListeners } from 'node:events'
import { create } from '@bufbuild/protobuf'
import type { Stream } from 'most'
import type { HybridClock } from '../../clock/types.js'
import type { ConfigurationHolder } from '../../configuration/types.js'
import type { EventLog } from '../../event/types.js'
import type { MemberTable } from '../../member/createMemberTable/index.js'
import { memberKey } from '../../member/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { TargetNotices } from '../../target/types.js'
import { chooseNeighbours } from '../_lib/chooseNeighbours.js'
import { createConfigurationExchange } from '../_lib/createConfigurationExchange.js'
import { createMemberExchange } from '../_lib/createMemberExchange.js'
import { createNoticeExchange } from '../_lib/createNoticeExchange.js'
import { createRoundScheduler } from '../_lib/createRoundScheduler.js'
import { GossipSchema, PeerFrameSchema, type PeerFrame } from '../gen/peer_pb.js'
import type { ConnectPeer, PeerStream } from '../types.js'

/** Time without a frame from a neighbour after which its stream is replaced and the member suspected. */
export const SILENT_AFTER_MS = 3_000

/** Lateness of a round at or above which this process is considered to have been paused. */
const PAUSE_THRESHOLD_MS = 1_500

/** Mean time between probes of a dead member, and duration of a probe. */
export const PROBE_INTERVAL_MS = 5_000
const PROBE_DURATION_MS = 2_000

/** Dependencies of a node. */
export interface PeerNodeOptions {
  table: MemberTable
  holder: ConfigurationHolder
  directory: TargetNotices
  clock: HybridClock
  connect: ConnectPeer
  /** Mean time between gossip rounds. */
  intervalMs: number
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
}

/** Takes part in the gossip for one daemon. */
export interface PeerNode {
  /** Serves a stream that a peer opened. */
  accept: (stream: PeerStream) => void
  /** Runs the gossip until the signal aborts. */
  run: () => Promise<void>
}

/** Options of the exchange on one stream. */
interface ExchangeOptions {
  signal: AbortSignal
  /** Called with the sender of each received frame. */
  onFrame?: (from: string) => void
}

/**
 * @name createPeerNode
 * @summary Creates the gossip of one daemon.
 * @param options - Tables, transport and timing.
 * @returns The node; it opens no stream before `run`.
 *
 * @example
 * const node = createPeerNode({ table, holder, directory, clock, connect: connectPeer, intervalMs: 500, runtime, log, signal })
 * await using server = await servePeers(node.accept, { address, port })
 * await node.run()
 */
export function createPeerNode (options: PeerNodeOptions): PeerNode {
  const { table, holder, directory, clock, connect, intervalMs, runtime, log, signal } = options
  /** Streams that this daemon keeps open to its neighbours, by member key. */
  const connections = new Map<string, { address: string, controller: AbortController }>()
  const configurationExchange = createConfigurationExchange({ holder, runtime, log })
  const scheduler = createRoundScheduler({ intervalMs, runtime, beforeFlush: startRound })
  // Each stream adds abort listeners to the signal; Node warns above 10.
  setMaxListeners(0, signal)
  /** Generation of the member table for which the neighbours were last chosen. */
  let neighbourGeneration = -1
  /** Monotonic time at which this process started or last resumed after a pause. */
  let resumedAtMs = runtime.monotonicMs()

  /** Publishes the revision in force in this daemon's own member entry, and applies the timeouts of the member table. */
  function startRound (): void {
    table.startRound(holder.current().head.revision)
  }

  function createFrame (body: PeerFrame['body']): PeerFrame {
    const stamp = clock.tick()
    return create(PeerFrameSchema, {
      from: memberKey(table.self()), clockMs: BigInt(Math.floor(stamp.wallMs)), clockCounter: stamp.counter, body
    })
  }

  /** Handles what a frame says about configurations, and sends the request or response that is due. */
  function handleConfiguration ({ body }: PeerFrame, stream: PeerStream): void {
    if (body.case === 'gossip') {
      const value = configurationExchange.requestIfBehind(Number(body.value.headRevision))
      if (value !== undefined) stream.send(createFrame({ case: 'configurationRequest', value }))
    }
    if (body.case === 'configurationRequest') {
      const value = configurationExchange.answer(body.value)
      if (value !== undefined) stream.send(createFrame({ case: 'configurationResponse', value }))
    }
    if (body.case === 'configurationResponse') configurationExchange.receive(body.value)
  }

  function logError (error: Error): void {
    log.emit('unexpectedError', { cause: error.message })
  }

  /** Lets a task run concurrently; a failure is logged and ends only that task. */
  function runInBackground (task: Promise<void>): void {
    task.catch(logError)
  }

  /** Time since a frame was received, not counting from before a pause of this process. */
  const silentMs = (receivedAtMs: number): number => runtime.monotonicMs() - Math.max(receivedAtMs, resumedAtMs)

  /** Exchanges gossip on a stream until it closes, falls silent or the signal aborts. */
  async function exchange (stream: PeerStream, { signal: streamSignal, onFrame = () => {} }: ExchangeOptions): Promise<void> {
    const memberExchange = createMemberExchange(table)
    const noticeExchange = createNoticeExchange(directory)
    const state = { open: true, receivedAtMs: runtime.monotonicMs(), peer: 'unknown' }
    const closed = stream.frames.observe(received => {
      state.receivedAtMs = runtime.monotonicMs()
      state.peer = received.from
      onFrame(received.from)
      clock.observe({ wallMs: Number(received.clockMs), counter: received.clockCounter })
      if (received.body.case === 'gossip') {
        memberExchange.receive(received.body.value, received.from)
        noticeExchange.receive(received.body.value)
      }
      handleConfiguration(received, stream)
    }).catch(logError).then(() => { state.open = false })
    while (state.open && !streamSignal.aborted) {
      const memberGossip = memberExchange.next()
      const value = create(GossipSchema, {
        members: memberGossip.members, updates: memberGossip.updates, targetNotices: noticeExchange.next(), headRevision: BigInt(holder.current().head.revision)
      })
      stream.send(createFrame({ case: 'gossip', value }))
      await Promise.race([closed, scheduler.waitForRound({ more: memberGossip.more, signal: streamSignal })])
      if (silentMs(state.receivedAtMs) < SILENT_AFTER_MS) continue
      return log.emit('peerSilent', { peer: state.peer, silentMs: silentMs(state.receivedAtMs) })
    }
  }

  /** Keeps a stream open to a neighbour, and suspects the member if nothing was received from it for too long. */
  async function maintainConnection (key: string, address: string, peerSignal: AbortSignal): Promise<void> {
    let receivedAtMs = runtime.monotonicMs()
    const onFrame = (from: string): void => { if (from === key) receivedAtMs = runtime.monotonicMs() }
    while (!peerSignal.aborted) {
      using stream = connect(address)
      log.emit('peerConnected', { peer: key, address })
      await exchange(stream, { signal: peerSignal, onFrame }).catch(logError)
      log.emit('peerDisconnected', { peer: key, address })
      if (!peerSignal.aborted && silentMs(receivedAtMs) >= SILENT_AFTER_MS) table.suspect(key)
      await sleep(intervalMs, { runtime, signal: peerSignal })
    }
  }

  /** Opens and closes streams so that there is one to each neighbour, after the set of live members has changed. */
  function updateConnections (): void {
    if (neighbourGeneration === table.generation()) return
    neighbourGeneration = table.generation()
    const addresses = new Map(table.live().map(member => [memberKey(member), member.address]))
    const selfKey = memberKey(table.self())
    const neighbours = new Set(chooseNeighbours(selfKey, [...addresses.keys()].filter(key => key !== selfKey)))
    for (const [key, connection] of connections) {
      if (neighbours.has(key) && addresses.get(key) === connection.address) continue
      connection.controller.abort()
      connections.delete(key)
    }
    for (const key of neighbours) if (!connections.has(key)) startConnection(key, addresses.get(key)!)
  }

  function startConnection (key: string, address: string): void {
    const controller = new AbortController()
    signal.addEventListener('abort', () => controller.abort(), { once: true, signal: controller.signal })
    connections.set(key, { address, controller })
    runInBackground(maintainConnection(key, address, controller.signal))
  }

  /** Tries to reach a random dead member at each probe interval: after a network partition, each side considers the other dead. */
  async function probeDeadMembers (): Promise<void> {
    while (!signal.aborted) {
      await sleep(PROBE_INTERVAL_MS * (0.5 + runtime.random()), { runtime, signal })
      const dead = table.all().filter(member => member.status === 'dead')
      const chosen = dead[Math.floor(runtime.random() * dead.length)]
      if (chosen === undefined || signal.aborted) continue
      using stream = connect(chosen.address)
      const controller = new AbortController()
      const exchanged = exchange(stream, { signal: controller.signal })
      await Promise.race([exchanged, sleep(PROBE_DURATION_MS, { runtime, signal })])
      controller.abort()
    }
  }

  /** Serves a stream that a peer opened, and disposes of it at the end. */
  async function serveStream (stream: PeerStream): Promise<void> {
    using owned = stream
    await exchange(owned, { signal })
  }

  /** Brings the next round forward at each of the changes. */
  async function flushOnChange (changes: Stream<unknown>): Promise<void> {
    await changes.observe(() => scheduler.flushSoon())
  }

  /** Notes a pause of this process, if the round that started at the given time ended late. */
  function detectPause (roundStartedAtMs: number): void {
    const lateMs = runtime.monotonicMs() - roundStartedAtMs - intervalMs
    if (lateMs >= PAUSE_THRESHOLD_MS) resumedAtMs = runtime.monotonicMs()
  }

  return {
    accept: stream => runInBackground(serveStream(stream)),
    async run () {
      runInBackground(probeDeadMembers())
      for (const changes of [table.urgentChanges, holder.changes, directory.changes]) runInBackground(flushOnChange(changes))
      while (!signal.aborted) {
        startRound()
        updateConnections()
        const roundStartedAtMs = runtime.monotonicMs()
        await sleep(intervalMs, { runtime, signal })
        detectPause(roundStartedAtMs)
      }
    }
  }
}
