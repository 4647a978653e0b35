/**
 * Gossip of one daemon: members, the head revision, and whole configurations on request. One
 * task for each peer that it keeps a stream to.
 */
import { create } from '@bufbuild/protobuf'
import type { HybridClock } from '../../clock/types.js'
import { buildConfiguration } from '../../configuration/buildConfiguration/index.js'
import type { ConfigurationHolder } from '../../configuration/types.js'
import type { EventLog } from '../../event/types.js'
import type { MemberTable } from '../../member/createMemberTable/index.js'
import { memberKey, type Member } from '../../member/types.js'
import { sleep } from '../../runtime/sleep/index.js'
import type { Runtime } from '../../runtime/types.js'
import { headSchema } from '../../ticket/types.js'
import { fromMemberState, toMemberState } from '../_lib/convertMember.js'
import { PeerFrameSchema, type ConfigurationResponse, type PeerFrame } from '../gen/peer_pb.js'
import type { ConnectPeer, PeerStream } from '../types.js'

/** Streams that a daemon keeps open to others, whatever the size of the deployment. */
const FAN_OUT = 3

/** Members told of in one frame. */
const MEMBERS_PER_FRAME = 32

/** What a node works with. */
export interface PeerNodeOptions {
  table: MemberTable
  holder: ConfigurationHolder
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

/**
 * @name createPeerNode
 * @summary The gossip of one daemon.
 * @param options - Tables, transport and timing.
 * @returns The node; nothing is sent before `run`.
 *
 * @example
 * const node = createPeerNode({ table, holder, clock, connect: connectPeer, intervalMs: 500, runtime, log, signal })
 * await using server = await servePeers(node.accept, { address, port })
 * await node.run()
 */
export function createPeerNode (options: PeerNodeOptions): PeerNode {
  const { table, holder, clock, connect, intervalMs, runtime, log, signal } = options
  const tasks = new Map<string, { address: string, controller: AbortController }>()
  let cursor = 0

  function frame (body: PeerFrame['body']): PeerFrame {
    const stamp = clock.tick()
    return create(PeerFrameSchema, {
      from: memberKey(table.self()), clockMs: BigInt(stamp.wallMs), clockCounter: stamp.counter, body
    })
  }

  function gossip (): PeerFrame {
    const members = sampleMembers()
    return frame({
      case: 'gossip',
      value: {
        $typeName: 'coltsfootlead.peer.Gossip',
        members: members.map(toMemberState),
        headRevision: BigInt(holder.current().head.revision),
        targetNotices: []
      }
    })
  }

  /** This daemon and a rotating window over the others. */
  function sampleMembers (): Member[] {
    const self = table.self()
    const others = table.all().filter(member => memberKey(member) !== memberKey(self))
    if (others.length <= MEMBERS_PER_FRAME) return [self, ...others]
    cursor = (cursor + MEMBERS_PER_FRAME) % others.length
    return [self, ...[...others, ...others].slice(cursor, cursor + MEMBERS_PER_FRAME)]
  }

  function receive (received: PeerFrame, stream: PeerStream): void {
    clock.observe({ wallMs: Number(received.clockMs), counter: received.clockCounter })
    const { body } = received
    if (body.case === 'gossip') {
      table.merge(body.value.members.flatMap(state => fromMemberState(state) ?? []))
      const ours = holder.current().head.revision
      if (Number(body.value.headRevision) > ours) {
        stream.send(frame({ case: 'configurationRequest', value: { $typeName: 'coltsfootlead.peer.ConfigurationRequest', aboveRevision: BigInt(ours) } }))
      }
    }
    if (body.case === 'configurationRequest') sendConfiguration(Number(body.value.aboveRevision), stream)
    if (body.case === 'configurationResponse') applyConfiguration(body.value)
  }

  function sendConfiguration (aboveRevision: number, stream: PeerStream): void {
    const { head, values } = holder.current()
    if (head.revision <= aboveRevision) return
    const scopeJson = Object.fromEntries([...values].map(([scope, value]) => [scope, JSON.stringify(value)]))
    stream.send(frame({
      case: 'configurationResponse',
      value: {
        $typeName: 'coltsfootlead.peer.ConfigurationResponse',
        revision: BigInt(head.revision),
        headJson: JSON.stringify(head),
        scopeJson
      }
    }))
  }

  function applyConfiguration (response: ConfigurationResponse): void {
    try {
      const head = headSchema.parse(JSON.parse(response.headJson))
      const values = new Map(Object.entries(response.scopeJson).map(([scope, json]) => [scope, JSON.parse(json) as unknown]))
      holder.offer(buildConfiguration(head, values), 'peer')
    } catch (error) {
      log.emit('configurationInvalid', { cause: (error as Error).message, source: 'peer' })
    }
  }

  /** Runs a task beside the others; a failure is logged and ends only that task. */
  function start (task: Promise<void>): void {
    task.catch((error: Error) => log.emit('unexpectedError', { cause: error.message }))
  }

  async function attend (stream: PeerStream): Promise<void> {
    await stream.frames.observe(received => receive(received, stream)).catch(() => {})
  }

  async function talkTo (key: string, address: string, peerSignal: AbortSignal): Promise<void> {
    while (!peerSignal.aborted) {
      using stream = connect(address)
      log.emit('peerConnected', { peer: key, address })
      const state = { open: true }
      const closed = attend(stream).then(() => { state.open = false })
      while (state.open && !peerSignal.aborted) {
        stream.send(gossip())
        await Promise.race([closed, sleep(intervalMs * (0.5 + runtime.random()), { runtime, signal: peerSignal })])
      }
      log.emit('peerDisconnected', { peer: key, address })
      await sleep(intervalMs, { runtime, signal: peerSignal })
    }
  }

  /** Keeps streams to the next members in the order of their names. */
  function keepStreams (): void {
    const wanted = new Map(chooseNeighbours().map(member => [memberKey(member), member.address]))
    for (const [key, task] of tasks) {
      if (wanted.get(key) === task.address) continue
      task.controller.abort()
      tasks.delete(key)
    }
    for (const [key, address] of wanted) {
      if (tasks.has(key)) continue
      const controller = new AbortController()
      signal.addEventListener('abort', () => controller.abort(), { once: true, signal: controller.signal })
      tasks.set(key, { address, controller })
      start(talkTo(key, address, controller.signal))
    }
  }

  function chooseNeighbours (): Member[] {
    const selfKey = memberKey(table.self())
    const others = table.live()
      .filter(member => memberKey(member) !== selfKey)
      .sort((a, b) => memberKey(a) < memberKey(b) ? -1 : 1)
    const start = others.findIndex(member => memberKey(member) > selfKey)
    const at = start < 0 ? 0 : start
    return [...others.slice(at), ...others.slice(0, at)].slice(0, FAN_OUT)
  }

  return {
    accept: stream => start(attend(stream)),
    async run () {
      while (!signal.aborted) {
        table.beat(holder.current().head.revision)
        keepStreams()
        await sleep(intervalMs, { runtime, signal })
      }
    }
  }
}
