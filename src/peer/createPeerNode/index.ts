/**
 * Gossip of one daemon: members, target notices, the head revision, and configurations on
 * request. One task for each stream; each sends what changed, at each interval and at once when
 * a change is urgent. The streams are also how members watch over each other.
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
import { createPacer } from '../_lib/createPacer.js'
import { GossipSchema, PeerFrameSchema, type PeerFrame } from '../gen/peer_pb.js'
import type { ConnectPeer, PeerStream } from '../types.js'

/** Silence of a neighbour after which its stream is replaced and the member suspected. */
export const SILENT_AFTER_MS = 3_000

/** Lateness of a round from which this daemon takes itself to have been paused. */
const PAUSED_AFTER_MS = 1_500

/** Time between tries to reach one of the dead members, and length of a try. */
export const PROBE_EVERY_MS = 5_000
const PROBE_FOR_MS = 2_000

/** What a node works with. */
export interface PeerNodeOptions {
  table: MemberTable
  holder: ConfigurationHolder
  directory: TargetNotices
  clock: HybridClock
  connect: ConnectPeer
  intervalMs: number
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
}

/** A daemon's part in the gossip. */
export interface PeerNode {
  /** Serves a stream that a peer opened. */
  accept: (stream: PeerStream) => void
  /** Runs the gossip until the signal aborts. */
  run: () => Promise<void>
}

/** What one conversation needs to know of its owner. */
interface ConverseOptions {
  signal: AbortSignal
  /** Told of each frame's sender. */
  onHeard?: (from: string) => void
}

/**
 * @name createPeerNode
 * @summary The gossip of one daemon.
 * @param options - Tables, transport and timing.
 * @returns The node; nothing is dialled before `run`.
 *
 * @example
 * const node = createPeerNode({ table, holder, directory, clock, connect: connectPeer, intervalMs: 500, runtime, log, signal })
 * await using server = await servePeers(node.accept, { address, port })
 * await node.run()
 */
export function createPeerNode (options: PeerNodeOptions): PeerNode {
  const { table, holder, directory, clock, connect, intervalMs, runtime, log, signal } = options
  const tasks = new Map<string, { address: string, controller: AbortController }>()
  const configurations = createConfigurationExchange({ holder, runtime, log })
  const pacer = createPacer({ intervalMs, runtime, beforeFlush: beat })
  setMaxListeners(0, signal)
  let generation = -1
  let resumedMs = runtime.monotonicMs()

  function beat (): void {
    table.startRound(holder.current().head.revision)
  }

  function frame (body: PeerFrame['body']): PeerFrame {
    const stamp = clock.tick()
    return create(PeerFrameSchema, {
      from: memberKey(table.self()), clockMs: BigInt(Math.floor(stamp.wallMs)), clockCounter: stamp.counter, body
    })
  }

  function receiveConfiguration ({ body }: PeerFrame, stream: PeerStream): void {
    if (body.case === 'gossip') {
      const value = configurations.noteRevision(Number(body.value.headRevision))
      if (value !== undefined) stream.send(frame({ case: 'configurationRequest', value }))
    }
    if (body.case === 'configurationRequest') {
      const value = configurations.answer(body.value)
      if (value !== undefined) stream.send(frame({ case: 'configurationResponse', value }))
    }
    if (body.case === 'configurationResponse') configurations.receive(body.value)
  }

  function report (error: Error): void {
    log.emit('unexpectedError', { cause: error.message })
  }

  /** Runs a task beside the others; a failure is logged and ends only that task. */
  function start (task: Promise<void>): void {
    task.catch(report)
  }

  const silentMs = (heardMs: number): number => runtime.monotonicMs() - Math.max(heardMs, resumedMs)

  /** Gossips on a stream until it closes, falls silent or the signal aborts. */
  async function converse (stream: PeerStream, { signal: until, onHeard = () => {} }: ConverseOptions): Promise<void> {
    const members = createMemberExchange(table)
    const notices = createNoticeExchange(directory)
    const state = { open: true, heardMs: runtime.monotonicMs(), peer: 'unknown' }
    const closed = stream.frames.observe(received => {
      state.heardMs = runtime.monotonicMs()
      state.peer = received.from
      onHeard(received.from)
      clock.observe({ wallMs: Number(received.clockMs), counter: received.clockCounter })
      if (received.body.case === 'gossip') {
        members.receive(received.body.value, received.from)
        notices.receive(received.body.value)
      }
      receiveConfiguration(received, stream)
    }).catch(report).then(() => { state.open = false })
    while (state.open && !until.aborted) {
      const news = members.next()
      const value = create(GossipSchema, {
        members: news.members, updates: news.updates, targetNotices: notices.next(), headRevision: BigInt(holder.current().head.revision)
      })
      stream.send(frame({ case: 'gossip', value }))
      await Promise.race([closed, pacer.nextRound({ more: news.more, signal: until })])
      if (silentMs(state.heardMs) < SILENT_AFTER_MS) continue
      return log.emit('peerSilent', { peer: state.peer, silentMs: silentMs(state.heardMs) })
    }
  }

  async function talkTo (key: string, address: string, peerSignal: AbortSignal): Promise<void> {
    let heardMs = runtime.monotonicMs()
    const onHeard = (from: string): void => { if (from === key) heardMs = runtime.monotonicMs() }
    while (!peerSignal.aborted) {
      using stream = connect(address)
      log.emit('peerConnected', { peer: key, address })
      await converse(stream, { signal: peerSignal, onHeard }).catch(report)
      log.emit('peerDisconnected', { peer: key, address })
      if (!peerSignal.aborted && silentMs(heardMs) >= SILENT_AFTER_MS) table.suspect(key)
      await sleep(intervalMs, { runtime, signal: peerSignal })
    }
  }

  /** Keeps streams to this daemon's neighbours among the live members. */
  function keepStreams (): void {
    if (generation === table.generation()) return
    generation = table.generation()
    const addresses = new Map(table.live().map(member => [memberKey(member), member.address]))
    const selfKey = memberKey(table.self())
    const wanted = new Set(chooseNeighbours(selfKey, [...addresses.keys()].filter(key => key !== selfKey)))
    for (const [key, task] of tasks) {
      if (wanted.has(key) && addresses.get(key) === task.address) continue
      task.controller.abort()
      tasks.delete(key)
    }
    for (const key of wanted) if (!tasks.has(key)) dial(key, addresses.get(key)!)
  }

  function dial (key: string, address: string): void {
    const controller = new AbortController()
    signal.addEventListener('abort', () => controller.abort(), { once: true, signal: controller.signal })
    tasks.set(key, { address, controller })
    start(talkTo(key, address, controller.signal))
  }

  /** Tries dead members now and then: after a parting, each side holds the other for dead. */
  async function probeDead (): Promise<void> {
    while (!signal.aborted) {
      await sleep(PROBE_EVERY_MS * (0.5 + runtime.random()), { runtime, signal })
      const dead = table.all().filter(member => member.status === 'dead')
      const chosen = dead[Math.floor(runtime.random() * dead.length)]
      if (chosen === undefined || signal.aborted) continue
      using stream = connect(chosen.address)
      const controller = new AbortController()
      const talk = converse(stream, { signal: controller.signal })
      await Promise.race([talk, sleep(PROBE_FOR_MS, { runtime, signal })])
      controller.abort()
    }
  }

  async function acceptUntilClosed (stream: PeerStream): Promise<void> {
    using owned = stream
    await converse(owned, { signal })
  }

  async function flushOn (changes: Stream<unknown>): Promise<void> {
    await changes.observe(() => pacer.flushSoon())
  }

  function noticePause (lastRoundMs: number): void {
    const lateMs = runtime.monotonicMs() - lastRoundMs - intervalMs
    if (lateMs >= PAUSED_AFTER_MS) resumedMs = runtime.monotonicMs()
  }

  return {
    accept: stream => start(acceptUntilClosed(stream)),
    async run () {
      start(probeDead())
      for (const changes of [table.urgentChanges, holder.changes, directory.changes]) start(flushOn(changes))
      while (!signal.aborted) {
        beat()
        keepStreams()
        const startedMs = runtime.monotonicMs()
        await sleep(intervalMs, { runtime, signal })
        noticePause(startedMs)
      }
    }
  }
}
