/**
 * Exchanges digests with the neighboring hosts of the tree that `planNeighbors` describes. A digest
 * carries the summed load of all hosts behind its sender, seen from the receiver: a child reports
 * its subtree, a root reports its subtree to the other roots, and a parent tells each child the
 * rest of the fleet. Load passes from host to host within tenths of a second, and a host's work
 * does not grow with the fleet.
 *
 * Only a host that precedes another one in the order of the tree takes its report, and nothing
 * that was told downwards is reported upwards. No load can therefore run in a circle, even while
 * hosts disagree on who is alive.
 *
 * The store may reject one host while it serves the others, so a host that stays behind a neighbor
 * for longer than a watch takes reads the state from that neighbor.
 */
import { firstReader } from '../../fleet/isStoreReader/index.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import { createMemberView, type ReportOptions } from '../createMemberView/index.js'
import { createNoticeRelay } from '../_lib/createNoticeRelay.js'
import { createStateFetcher } from '../_lib/createStateFetcher.js'
import { countHostsBehind, listReaders, meanAgeMs } from '../_lib/summarizeNeighbors.js'
import { isBefore, planNeighbors, type NeighborPlan } from '../planNeighbors/index.js'
import { decodeDigest, encodeDigest, type Digest, type DigestRole } from '../types.js'
import type { DigestExchange, DigestExchangeOptions, Peer } from './types.js'

/** Interval of digests to other roots and to the parent, and of roots' digests to their children, in milliseconds. */
const INTERVAL_MS = 100

/** Least time between two reports of changes, in milliseconds. */
const REPORT_SPACING_MS = 50

/** Time after which a host passes on what it knows to its children although its parent is silent, in milliseconds. */
const RELAY_TIMEOUT_MS = 150

/** Time without a digest after which a host does without its parent, or another root, in milliseconds. */
const PLANNED_TIMEOUT_MS = 600

/** Time without a digest after which the load of a neighbor is dropped, in milliseconds. */
const NEIGHBOR_TIMEOUT_MS = 1_000

/** Number of members in one digest, and in one that answers a contact. */
const REPORTED_MEMBERS = 12
const ANSWERED_MEMBERS = 40

/** Least time between two contacts to an address, or two answers to one, in milliseconds; the first while this host has no neighbors. */
const FIRST_CONTACT_INTERVAL_MS = 200
const CONTACT_INTERVAL_MS = 500

/** Window of `recentHostCount`, in milliseconds; hosts that stopped within it may have spent a part of what all share. */
const HOST_COUNT_WINDOW_MS = 10_000

/** Key of the load that the parent tells, whichever host that is. */
const UPSTREAM = 'upstream'

/** Role of a digest that carries load. */
type NeighborRole = Exclude<DigestRole, 'contact' | 'members'>

interface Neighbor extends Peer {
  /** What this host is to the neighbor: its parent (`up`), its child (`down`) or another root. */
  role: NeighborRole
}

const listPlanned = ({ parent, otherRoots }: NeighborPlan): string[] => parent === undefined ? otherRoots : [parent]

const isLoadRole = (role: DigestRole): role is NeighborRole => role !== 'contact' && role !== 'members'

/**
 * @name createDigestExchange
 * @summary Exchanges digests until the signal aborts.
 * @param options - Socket, runtime, own state, load and callbacks.
 * @returns The exchange.
 *
 * @example
 * const exchange = createDigestExchange({ socket, ownIp, ownDomain, runtime, log, signal, load, buildState, ownNotices, onNotices, crashEvidence, isFollowingStore, onDigest, fetchState })
 */
export function createDigestExchange (options: DigestExchangeOptions): DigestExchange {
  const { socket, ownIp, ownDomain, runtime, log, signal, load, buildState, ownNotices, onNotices, crashEvidence, isFollowingStore, onDigest, fetchState } = options
  const view = createMemberView({ ownIp, ownDomain, runtime })
  const relay = createNoticeRelay({ runtime })
  const fetcher = createStateFetcher({ runtime, ownState: buildState, isFollowingStore, fetchState })
  const neighbors = new Map<string, Neighbor>()
  const contactedMs = new Map<string, number>()
  let plan: NeighborPlan = { isRoot: true, depth: 0, parent: undefined, otherRoots: [], roots: [] }
  /** Since when each planned neighbor has been one. */
  let plannedSinceMs = new Map<string, number>()
  let sequence = 0
  let reportedMs = -Infinity
  let relayedMs = -Infinity
  let silentContactedMs = -Infinity
  let reportTimer: Disposable | undefined
  let hostCounts: Array<{ atMs: number, count: number }> = []

  const sinceMs = (atMs: number): number => runtime.monotonicMs() - atMs
  const listNeighbors = (role: NeighborRole): Neighbor[] => [...neighbors.values()].filter(neighbor => neighbor.role === role)
  const listChildren = (): Neighbor[] => listNeighbors('up')
  /** The neighbor whose digests cover the rest of the fleet; a former parent until the new one is heard. */
  const upstream = (): Neighbor | undefined => listNeighbors('down').sort((a, b) => b.lastHeardMs - a.lastHeardMs)[0]

  /** Neighbors behind which there are hosts that the receiver does not know through others. */
  function sourcesFor (role: DigestRole, receiver: string): Neighbor[] {
    if (!isLoadRole(role)) return []
    const children = listChildren().filter(child => child.ip !== receiver)
    if (role !== 'down') return children
    const above = plan.isRoot ? listNeighbors('mesh') : [upstream()].filter(neighbor => neighbor !== undefined)
    return [...children, ...above]
  }

  const loadKeyOf = (neighbor: Neighbor): string => neighbor.role === 'down' ? UPSTREAM : neighbor.ip

  function send (ip: string, role: DigestRole): void {
    const sources = sourcesFor(role, ip)
    const state = buildState()
    const nowMs = runtime.monotonicMs()
    const readers = listReaders(sources, { ownIp, nowMs })
    const digest: Digest = {
      ...state,
      sequence: ++sequence,
      role,
      hostCount: 1 + countHostsBehind(sources),
      loadAgeMs: Math.round(meanAgeMs(sources, { nowMs, ownHosts: 1 })),
      reader: firstReader(state.isStoreConnected ? [{ ip: ownIp, depth: plan.depth, ageMs: 0 }, ...readers] : readers),
      notices: isLoadRole(role) ? relay.noticesFor(ip, role) : { suspicions: [], seenLayers: [], limits: [], leaving: [] },
      crashes: isLoadRole(role) ? crashEvidence.newsFor(ip) : { sightings: [], answered: [] },
      members: view.takeReport(ip, reportOptions(role)),
      load: isLoadRole(role) ? load.sumWith(sources.map(loadKeyOf)) : new Map()
    }
    socket.send(ip, encodeDigest(digest))
  }

  /** A parent gets only what it cannot know from others; a host that may be out of place gets the roots. */
  function reportOptions (role: DigestRole): ReportOptions {
    if (role === 'up') return { count: REPORTED_MEMBERS, isReportedFrom: reporter => neighbors.get(reporter)?.role === 'up' }
    if (role === 'down') return { count: REPORTED_MEMBERS }
    return { count: role === 'mesh' ? REPORTED_MEMBERS : ANSWERED_MEMBERS, always: plan.roots.map(root => root.ip) }
  }

  /** Tells the parent, or the other roots, the load of the subtree. */
  function report (): void {
    reportTimer?.[Symbol.dispose]()
    reportTimer = undefined
    reportedMs = runtime.monotonicMs()
    if (plan.parent !== undefined) send(plan.parent, 'up')
    for (const ip of plan.otherRoots) send(ip, 'mesh')
  }

  function sendToChildren (): void {
    relayedMs = runtime.monotonicMs()
    for (const { ip } of listChildren()) send(ip, 'down')
  }

  /** Reports a change soon. A root without children sends in its rounds only: in a small fleet all are such roots. */
  function requestReport (): void {
    const isLeafRoot = plan.isRoot && listChildren().length === 0
    if (isLeafRoot || reportTimer !== undefined || signal.aborted) return
    reportTimer = runtime.setTimer(Math.max(0, REPORT_SPACING_MS - sinceMs(reportedMs)), report)
  }

  function sendNow (): void {
    relay.addOwn(ownNotices())
    report()
    sendToChildren()
  }

  /** Sends a digest without load, unless one was sent shortly before. */
  function contact (ip: string, role: 'contact' | 'members', intervalMs: number): void {
    if (sinceMs(contactedMs.get(ip) ?? -Infinity) < intervalMs) return
    contactedMs.set(ip, runtime.monotonicMs())
    send(ip, role)
  }

  /** Looks for hosts that this one does not hear: all addresses while it has no neighbors, later one at a time. */
  function contactSilentAddress (): void {
    const silent = view.silentAddresses().filter(ip => !neighbors.has(ip))
    if (neighbors.size === 0) {
      for (const ip of silent) contact(ip, 'contact', FIRST_CONTACT_INTERVAL_MS)
    } else if (silent.length > 0 && sinceMs(silentContactedMs) >= CONTACT_INTERVAL_MS) {
      silentContactedMs = runtime.monotonicMs()
      contact(silent[Math.floor(runtime.random() * silent.length)]!, 'contact', CONTACT_INTERVAL_MS)
    }
    for (const [ip, atMs] of contactedMs) if (sinceMs(atMs) > CONTACT_INTERVAL_MS) contactedMs.delete(ip)
  }

  function isStale (digest: Digest, known: Digest | undefined): boolean {
    if (known === undefined || digest.host !== known.host) return false
    return digest.startedMs < known.startedMs || (digest.startedMs === known.startedMs && digest.sequence <= known.sequence)
  }

  function receive (ip: string, bytes: Buffer): void {
    const digest = decodeDigest(bytes)
    if (digest === undefined) return log.emit('peerMessageInvalid', { ip, sizeBytes: bytes.length })
    const known = neighbors.get(ip)
    if (isStale(digest, known?.digest)) return
    view.recordHeard(ip, digest.failureDomain)
    view.recordReported(digest.members, ip)
    const role = acceptedRole(ip, digest.role)
    if (role === undefined) {
      if (known !== undefined && digest.role !== 'contact') removeNeighbor(known)
      if (digest.role !== 'members' && digest.role !== 'down') contact(ip, 'members', CONTACT_INTERVAL_MS)
      if (neighbors.size === 0) updatePlan()
    } else {
      if (known === undefined) log.emit('memberJoined', { member: digest.host, ip })
      else if (known.role !== role) dropLoad(known)
      takeNeighbor({ ip, digest, lastHeardMs: runtime.monotonicMs(), role })
      // A root that this host does not count among the roots knows other members.
      if (role === 'mesh' && !isPlanned(ip)) contact(ip, 'members', CONTACT_INTERVAL_MS)
    }
    onDigest(digest)
    fetcher.check(ip, digest)
  }

  /** The role of a sender as a neighbor; `undefined` if it sent no load, or the order of the tree or its place forbids the role. */
  function acceptedRole (ip: string, role: DigestRole): NeighborRole | undefined {
    if (role === 'up') return isBefore(ownIp, ip) ? 'up' : undefined
    if (role === 'down') return ip === plan.parent ? 'down' : undefined
    if (role === 'mesh') return plan.isRoot ? 'mesh' : undefined
    return undefined
  }

  const isPlanned = (ip: string): boolean => plannedSinceMs.has(ip)

  function takeNeighbor (neighbor: Neighbor): void {
    const { ip, digest, role } = neighbor
    neighbors.set(ip, neighbor)
    const isLoadChanged = load.setNeighborLoad(loadKeyOf(neighbor), digest.load)
    const news = relay.addReceived(digest.notices, ip, role)
    if (news !== undefined) onNotices(news)
    const hasCrashNews = crashEvidence.applyNews(digest.crashes)
    if (role === 'down') {
      for (const former of listNeighbors('down')) if (former !== neighbor) neighbors.delete(former.ip)
      sendToChildren()
    } else if (news !== undefined || hasCrashNews || (isLoadChanged && role === 'up')) {
      requestReport()
    }
  }

  /** Drops what a neighbor reported. What a parent told is kept until another neighbor replaces it. */
  function dropLoad (neighbor: Neighbor): void {
    if (neighbor.role !== 'down') load.removeNeighbor(neighbor.ip)
  }

  function removeNeighbor (neighbor: Neighbor): void {
    neighbors.delete(neighbor.ip)
    dropLoad(neighbor)
    log.emit('memberLost', { member: neighbor.digest.host, ip: neighbor.ip })
  }

  function removeLostNeighbors (): void {
    for (const [ip, atMs] of plannedSinceMs) {
      if (sinceMs(Math.max(atMs, neighbors.get(ip)?.lastHeardMs ?? -Infinity)) > PLANNED_TIMEOUT_MS) view.recordSilent(ip)
    }
    for (const neighbor of neighbors.values()) {
      if (sinceMs(neighbor.lastHeardMs) < NEIGHBOR_TIMEOUT_MS) continue
      removeNeighbor(neighbor)
      view.recordSilent(neighbor.ip)
    }
    const isUpstreamLost = plan.parent !== undefined && upstream() === undefined && sinceMs(plannedSinceMs.get(plan.parent)!) > NEIGHBOR_TIMEOUT_MS
    if (isUpstreamLost) load.removeNeighbor(UPSTREAM)
  }

  function updatePlan (): void {
    const former = plan
    plan = planNeighbors({ ip: ownIp, failureDomain: ownDomain }, view.alive())
    plannedSinceMs = new Map(listPlanned(plan).map(ip => [ip, plannedSinceMs.get(ip) ?? runtime.monotonicMs()]))
    // Tells former neighbors that this host's load reaches them another way.
    for (const ip of listPlanned(former)) if (!isPlanned(ip)) send(ip, 'members')
    if (plan.isRoot === former.isRoot) return
    for (const neighbor of listNeighbors(plan.isRoot ? 'down' : 'mesh')) removeNeighbor(neighbor)
    if (plan.isRoot) load.removeNeighbor(UPSTREAM)
  }

  function runRound (): void {
    removeLostNeighbors()
    updatePlan()
    recordHostCount()
    relay.addOwn(ownNotices())
    contactSilentAddress()
    if (plan.isRoot || sinceMs(reportedMs) >= REPORT_SPACING_MS) report()
    if (plan.isRoot || sinceMs(relayedMs) >= RELAY_TIMEOUT_MS) sendToChildren()
  }

  /** Neighbors through which every other host is known once. */
  const allSources = (): Neighbor[] => [...listChildren(), ...listNeighbors('mesh'), ...[upstream()].filter(neighbor => neighbor !== undefined)]

  const countHosts = (): number => 1 + Math.max(view.alive().length, countHostsBehind(allSources()))

  function recordHostCount (): void {
    hostCounts = hostCounts.filter(({ atMs }) => sinceMs(atMs) < HOST_COUNT_WINDOW_MS)
    hostCounts.push({ atMs: runtime.monotonicMs(), count: countHosts() })
  }

  socket.onMessage(receive)
  load.onOwnChange(requestReport)
  repeatTask(runRound, { intervalMs: INTERVAL_MS, task: 'digests', runtime, log, signal })

  return {
    addAddress: view.addAddress,
    peers: () => [...neighbors.values()],
    parent: () => plan.parent === undefined ? undefined : neighbors.get(plan.parent),
    isRoot: () => plan.isRoot,
    memberIps: () => view.alive().map(({ ip }) => ip),
    hostCount: countHosts,
    recentHostCount: () => hostCounts.reduce((most, { count }) => Math.max(most, count), countHosts()),
    loadAgeMs: () => meanAgeMs(allSources(), { nowMs: runtime.monotonicMs(), ownHosts: 0 }),
    depth: () => plan.depth,
    otherRoots: () => listNeighbors('mesh'),
    readers: () => listReaders([...neighbors.values()], { ownIp, nowMs: runtime.monotonicMs() }),
    sendNow
  }
}
