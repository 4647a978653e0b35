/**
 * Gossip at the target number of daemons, all in one process with in-memory streams and a virtual
 * clock: bytes and frames per daemon, the largest frame, and how long a notice, a revision and the
 * death of a member take to reach every daemon.
 */
import { toBinary } from '@bufbuild/protobuf'
import { createHybridClock } from '../../src/clock/createHybridClock/index.js'
import { buildConfiguration } from '../../src/configuration/buildConfiguration/index.js'
import { createConfigurationHolder } from '../../src/configuration/createConfigurationHolder/index.js'
import { createMemberTable } from '../../src/member/createMemberTable/index.js'
import type { Member } from '../../src/member/types.js'
import { createPeerNode } from '../../src/peer/createPeerNode/index.js'
import { PeerFrameSchema } from '../../src/peer/gen/peer_pb.js'
import { createTargetDirectory } from '../../src/target/createTargetDirectory/index.js'
import { createManualRuntime, type ManualRuntime } from '../../test/fakes/createManualRuntime.js'
import { createPeerNetwork, type PeerNetwork } from '../../test/fakes/createPeerNetwork.js'
import { createTestLog } from '../../test/fakes/createTestLog.js'

/** Daemons at the target size. */
const DAEMONS = 340

/** Tickets per second: 11,000 per day. */
const TICKETS_PER_S = 11_000 / 86_400

/** Bytes of the gRPC prefix and the HTTP/2 frame header of each message. */
const FRAMING_SIZE_BYTES = 14

/** Time for the members to discover each other, and duration of a measurement. */
const SETTLE_MS = 8_000
const WINDOW_MS = 8_000

/** Interval between checks of a condition, and longest wait for it. */
const POLL_STEP_MS = 100
const POLL_TIMEOUT_MS = 40_000

/** Longest delay until a daemon receives a revision from its watch on the store. */
const MAX_WATCH_DELAY_MS = 300

type Node = ReturnType<typeof startNode>

function describeMember (index: number): Member {
  return {
    host: `entry-host-${index}`,
    role: 'entry',
    address: `10.${index % 6}.${index >> 8}.${index & 255}:7000`,
    operatorUrl: `http://10.${index % 6}.${index >> 8}.${index & 255}:7001`,
    failureDomain: `domain-${index % 12}`,
    incarnation: 1_800_000_000_000 + index,
    heartbeat: 0,
    status: 'alive',
    revisionInForce: 0
  }
}

function startNode (index: number, { runtime, network }: { runtime: ManualRuntime, network: PeerNetwork }) {
  const self = describeMember(index)
  const log = createTestLog({ host: self.host, nowMs: runtime.nowMs })
  const controller = new AbortController()
  const table = createMemberTable(self, { runtime, log })
  const holder = createConfigurationHolder({ runtime, log })
  const directory = createTargetDirectory({ holder, runtime, log })
  const clock = createHybridClock({ nowMs: runtime.nowMs })
  const connect = network.connectFrom(self.address)
  const node = createPeerNode({ table, holder, directory, clock, connect, intervalMs: 1_000, runtime, log, signal: controller.signal })
  table.merge(Array.from({ length: DAEMONS }, (_, other) => describeMember(other)))
  network.listen(self.address, node.accept)
  const stop = (): void => {
    controller.abort()
    network.stop(self.address)
  }
  return { table, holder, directory, stop, run: node.run(), key: `${self.host}-entry` }
}

/** Measures a deployment of the target size. */
export async function run ({ seed }: { seed: number }): Promise<Record<string, unknown>> {
  const runtime = createManualRuntime({ seed })
  const network = createPeerNetwork(runtime)
  const nodes = Array.from({ length: DAEMONS }, (_, index) => startNode(index, { runtime, network }))
  await runtime.advance(SETTLE_MS)
  const atStart = measureFrames(network, SETTLE_MS)
  await runtime.advance(WINDOW_MS)
  const idle = measureFrames(network, WINDOW_MS)
  const tickets = Math.max(1, Math.round(WINDOW_MS / 1_000 * TICKETS_PER_S))
  for (let revision = 1; revision <= tickets; revision++) {
    offerRevision(revision, nodes, runtime)
    await runtime.advance(WINDOW_MS / tickets)
  }
  const changing = measureFrames(network, WINDOW_MS)
  const revisionKnownMs = await measureRevision(tickets + 1, nodes, runtime)
  nodes[0]!.directory.applyNotices([{ target: 'engine-1', address: '10.9.0.1:1', state: 'leaving', remainingMs: 0 }])
  const noticeMs = await waitFor(runtime, () => nodes.every(node => node.directory.noticesAfter(0).length > 0))
  const last = nodes.pop()!
  last.stop()
  const deathMs = await waitFor(runtime, () => nodes.every(node => !node.table.live().some(member => `${member.host}-entry` === last.key)))
  const falselyDead = nodes.filter(node => node.table.live().length !== nodes.length).length
  return { daemons: DAEMONS, ticketsPerS: tickets / WINDOW_MS * 1_000, atStart, idle, changing, spreadMs: { revisionKnown: revisionKnownMs, notice: noticeMs, death: deathMs }, falselyDead }
}

/** Offers a revision to every daemon after a random delay, as its own watch on the store does. */
function offerRevision (revision: number, nodes: Node[], runtime: ManualRuntime): void {
  const configuration = buildConfiguration({ revision, scopes: {}, nonce: '' }, new Map())
  for (const node of nodes) runtime.setTimer(runtime.random() * MAX_WATCH_DELAY_MS, () => node.holder.applyIfNewer(configuration, 'store'))
}

/** Measures the time until the first daemon knows that all others have a revision in force. */
async function measureRevision (revision: number, nodes: Node[], runtime: ManualRuntime): Promise<number | null> {
  offerRevision(revision, nodes, runtime)
  return await waitFor(runtime, () => nodes[0]!.table.live().every(member => member.revisionInForce >= revision))
}

async function waitFor (runtime: ManualRuntime, isReached: () => boolean): Promise<number | null> {
  for (let waitedMs = 0; waitedMs < POLL_TIMEOUT_MS; waitedMs += POLL_STEP_MS) {
    if (isReached()) return waitedMs
    await runtime.advance(POLL_STEP_MS)
  }
  return null
}

/** Computes the frames of one daemon since the last measurement, sent and received together. */
function measureFrames (network: PeerNetwork, windowMs: number): Record<string, number> {
  const sizes = network.deliveredFrames.splice(0).map(({ frame }) => toBinary(PeerFrameSchema, frame).length + FRAMING_SIZE_BYTES)
  const perDaemon = 2 / DAEMONS / (windowMs / 1_000)
  return {
    bytesPerS: sizes.reduce((sum, size) => sum + size, 0) * perDaemon,
    framesPerS: sizes.length * perDaemon,
    largestFrameBytes: sizes.reduce((largest, size) => Math.max(largest, size), 0)
  }
}
