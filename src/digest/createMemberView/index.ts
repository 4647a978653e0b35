/**
 * Hosts of the fleet as one host knows them. A host hears only its neighbors itself; of the others
 * it learns the age of their last sign of life from the digests of its neighbors, so each digest
 * carries some members and its size does not depend on the size of the fleet.
 */
import type { Runtime } from '../../runtime/types.js'
import type { MemberAge } from '../_lib/memberCodec.js'
import type { Member } from '../planNeighbors/index.js'

/** The other hosts, as this host knows them. */
export interface MemberView {
  /** Records a digest received from a host. */
  recordHeard: (ip: string, failureDomain: string) => void
  /** Records what a host reports of others. */
  recordReported: (members: readonly MemberAge[], reporter: string) => void
  /** Records that a neighbor is silent: it is left out for a while, unless it is heard again. */
  recordSilent: (ip: string) => void
  /** Adds an address of which nothing else is known. */
  addAddress: (ip: string) => void
  /** Hosts with a recent sign of life. */
  alive: () => Member[]
  /** Addresses of hosts that this one avoids or of which nobody has heard for long; they may be cut off from it. */
  silentAddresses: () => string[]
  /** The next members to report to a host, at most `count`, most of them of the own failure domain, and none that it reported itself. */
  takeReport: (receiver: string, options: ReportOptions) => MemberAge[]
}

/** Which members are reported. */
export interface ReportOptions {
  count: number
  /** Addresses to report in any case, beyond `count`. */
  always?: readonly string[]
  /** Whether to report what a host reported; all by default. */
  isReportedFrom?: (reporter: string) => boolean
}

/** Age of its last sign of life up to which a host counts as alive, in milliseconds; signs pass through several hosts, each of which reports some members at a time. */
const ALIVE_MS = 10_000

/** Age up to which a host is reported to neighbors, and up to which its address is kept, in milliseconds. */
const REPORTED_MS = 30_000
const KEPT_MS = 120_000

/** How long a silent neighbor is left out although others report it, in milliseconds; until they have noticed as well. */
const AVOIDED_MS = 12_000

/** Share of a report that is for members of the own failure domain. */
const OWN_DOMAIN_SHARE = 3 / 4

interface MemberRecord {
  ip: string
  failureDomain: string | undefined
  signMs: number
  /** Host that reported the last sign, or the host itself if it was heard. */
  reporter: string
  avoidedUntilMs: number
}

/**
 * @name createMemberView
 * @summary Creates a view without any members.
 * @param options - Address and failure domain of this host, and the runtime.
 * @returns The view.
 *
 * @example
 * const view = createMemberView({ ownIp: '10.1.0.40', ownDomain: 'north', runtime })
 */
export function createMemberView (options: { ownIp: string, ownDomain: string, runtime: Runtime }): MemberView {
  const { ownIp, ownDomain, runtime } = options
  const records = new Map<string, MemberRecord>()
  /** Number of members that were reported to each host. */
  const reportedCounts = new Map<string, number>()

  function getOrCreateRecord (ip: string, failureDomain: string | undefined): MemberRecord {
    const known = records.get(ip)
    if (known !== undefined) {
      known.failureDomain ??= failureDomain
      return known
    }
    const record = { ip, failureDomain, signMs: -Infinity, reporter: ip, avoidedUntilMs: -Infinity }
    records.set(ip, record)
    return record
  }

  const ageMs = (record: MemberRecord): number => runtime.monotonicMs() - record.signMs

  const isAlive = (record: MemberRecord): record is MemberRecord & { failureDomain: string } =>
    record.failureDomain !== undefined && ageMs(record) < ALIVE_MS && record.avoidedUntilMs <= runtime.monotonicMs()

  const isSilent = (record: MemberRecord): boolean => ageMs(record) >= REPORTED_MS || record.avoidedUntilMs > runtime.monotonicMs()

  /** Takes members of a list in turn. */
  function takeNext (candidates: readonly MemberRecord[], count: number, taken: number): MemberRecord[] {
    if (candidates.length <= count) return [...candidates]
    const first = taken % candidates.length
    return [...candidates.slice(first), ...candidates.slice(0, first)].slice(0, count)
  }

  return {
    recordHeard (ip, failureDomain) {
      const record = getOrCreateRecord(ip, failureDomain)
      record.failureDomain = failureDomain
      record.signMs = runtime.monotonicMs()
      record.reporter = ip
      record.avoidedUntilMs = -Infinity
    },
    recordReported (members, reporter) {
      for (const { ip, failureDomain, ageMs: reportedAgeMs } of members) {
        if (ip === ownIp) continue
        const record = getOrCreateRecord(ip, failureDomain)
        const signMs = runtime.monotonicMs() - reportedAgeMs
        if (signMs <= record.signMs) continue
        record.signMs = signMs
        record.reporter = reporter
      }
    },
    recordSilent (ip) {
      getOrCreateRecord(ip, undefined).avoidedUntilMs = runtime.monotonicMs() + AVOIDED_MS
    },
    addAddress (ip) {
      if (ip !== ownIp) getOrCreateRecord(ip, undefined)
    },
    alive: () => [...records.values()].filter(isAlive),
    silentAddresses: () => [...records.values()].filter(isSilent).map(record => record.ip),
    takeReport (receiver, { count, always = [], isReportedFrom = () => true }) {
      const own: MemberRecord[] = []
      const others: MemberRecord[] = []
      for (const record of records.values()) {
        if (record.signMs > -Infinity && ageMs(record) > KEPT_MS) records.delete(record.ip)
        const isReported = record.failureDomain !== undefined && ageMs(record) < REPORTED_MS && record.reporter !== receiver && isReportedFrom(record.reporter)
        if (isReported && record.ip !== receiver) (record.failureDomain === ownDomain ? own : others).push(record)
      }
      const taken = reportedCounts.get(receiver) ?? 0
      const ownCount = others.length === 0 ? count : Math.max(count - others.length, Math.ceil(count * OWN_DOMAIN_SHARE))
      const ownNext = takeNext(own, ownCount, Math.floor(taken * OWN_DOMAIN_SHARE))
      const othersNext = takeNext(others, count - ownNext.length, Math.floor(taken * (1 - OWN_DOMAIN_SHARE)))
      reportedCounts.set(receiver, taken + count)
      const alwaysNext = always.flatMap(ip => ip === receiver ? [] : records.get(ip) ?? []).filter(record => record.failureDomain !== undefined && ageMs(record) < REPORTED_MS)
      return [...new Set([...alwaysNext, ...ownNext, ...othersNext])].map(record => ({ ip: record.ip, failureDomain: record.failureDomain!, ageMs: ageMs(record) }))
    }
  }
}
