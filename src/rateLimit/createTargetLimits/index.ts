/**
 * Rates of requests that targets say they take from all hosts together. A rate is a statement of one
 * instance of a target, not a guess: it holds until an answer without one, here or at another host.
 * Each host sends no more than its share; requests beyond it go to other targets or wait.
 */
import type { EventLog } from '../../event/types.js'
import type { Runtime } from '../../runtime/types.js'
import { countHostsAhead } from '../countHostsAhead/index.js'
import { shareOfLimit } from '../shareOfLimit/index.js'

/** What a host was told by a target, as sent to its peers. */
export interface SharedLimit {
  targetId: string
  /** Requests a second, `null` once the target names no rate any more. */
  limitPerS: number | null
  /** Time since the answer, in milliseconds. */
  ageMs: number
}

/** The rates that targets take. */
export interface TargetLimits {
  /** Records what an answer of a target says: a rate in requests a second, or none. */
  note: (targetId: string, limitPerS: number | undefined) => void
  /** Whether the target may be sent a request now. */
  mayTake: (targetId: string) => boolean
  /** Counts a request to the target. */
  take: (targetId: string) => void
  /** Statements that rest on this host's own answers, to send to peers. */
  share: () => SharedLimit[]
  /** Applies a peer's statement, unless this host knows a later one. */
  applyPeerLimit: (limit: SharedLimit) => void
  /** Number of targets that name a rate. */
  count: () => number
  /** Deletes the records of all targets except those given. */
  retain: (targetIds: ReadonlySet<string>) => void
}

interface LimitsOptions {
  runtime: Runtime
  log: EventLog
  ownIp: string
  /** Addresses of the other hosts. */
  otherIps: () => readonly string[]
}

/** Requests that a host may send at once after a pause: those of this time at its share, in seconds, and one at least. */
const BURST_S = 0.25
const MIN_BURST = 1

/** Interval at which the list of hosts is compared with the last one, in milliseconds; hosts come and go more slowly. */
const HOSTS_CHECK_MS = 500

/** How long a statement is told, in milliseconds; as long as peers remember that they were told it. */
const SHARED_MS = 10_000

/** Change of a rate that is logged and told, as a factor. */
const MIN_CHANGE = 1.1

/** Largest rate that has an effect, in requests a second. */
const MAX_PER_S = 100_000

const MS_PER_S = 1_000

interface LimitRecord {
  limitPerS: number | undefined
  /** Monotonic time of the answer that says so, in milliseconds. */
  atMs: number
  isOwn: boolean
  /** Requests that may be sent, at `updatedMs`. */
  tokens: number
  updatedMs: number
  /** This host's position among the hosts, for one list of them. */
  position: { hostsAhead: number, hosts: readonly string[] } | undefined
}

/** Whether a rate differs enough from another one to be told. */
export function isOtherLimit (one: number | null | undefined, other: number | null | undefined): boolean {
  if (typeof one !== 'number' || typeof other !== 'number') return typeof one !== typeof other
  return one > other * MIN_CHANGE || other > one * MIN_CHANGE
}

/**
 * @name createTargetLimits
 * @summary Creates the rates of one host, with none known.
 * @param options - Runtime, log, and the hosts that share a rate.
 * @returns The rates.
 *
 * @example
 * if (limits.mayTake(target.id)) limits.take(target.id)
 */
export function createTargetLimits ({ runtime, log, ownIp, otherIps }: LimitsOptions): TargetLimits {
  const records = new Map<string, LimitRecord>()
  let knownHosts: readonly string[] = []
  let checkedMs = -Infinity

  function set (targetId: string, limitPerS: number | undefined, atMs: number, isOwn: boolean): void {
    const known = records.get(targetId)
    if (known === undefined && limitPerS === undefined) return
    if (isOtherLimit(known?.limitPerS, limitPerS)) log.emit('targetLimited', { target: targetId, limitPerS: limitPerS ?? null, previousPerS: known?.limitPerS ?? null, isOwn })
    const record = known ?? { limitPerS, atMs, isOwn, tokens: MIN_BURST, updatedMs: runtime.monotonicMs(), position: undefined }
    Object.assign(record, { limitPerS, atMs, isOwn })
    records.set(targetId, record)
  }

  /** The other hosts; the same array for as long as they are the same. */
  function currentHosts (): readonly string[] {
    const nowMs = runtime.monotonicMs()
    if (nowMs - checkedMs <= HOSTS_CHECK_MS) return knownHosts
    checkedMs = nowMs
    const next = otherIps()
    if (next.length !== knownHosts.length || next.some((ip, index) => ip !== knownHosts[index])) knownHosts = next
    return knownHosts
  }

  function sharePerS (targetId: string, record: LimitRecord, limitPerS: number): number {
    const hosts = currentHosts()
    if (record.position?.hosts !== hosts) record.position = { hostsAhead: countHostsAhead(targetId, { ownIp, otherIps: hosts }), hosts }
    return shareOfLimit(limitPerS, { hostsAhead: record.position.hostsAhead, hostCount: 1 + hosts.length })
  }

  /** Adds the tokens of the time that has passed; returns those there are, or `undefined` without a limit. */
  function refill (targetId: string): LimitRecord | undefined {
    const record = records.get(targetId)
    if (record?.limitPerS === undefined) return undefined
    const nowMs = runtime.monotonicMs()
    const perS = sharePerS(targetId, record, record.limitPerS)
    record.tokens = perS === 0 ? Math.min(0, record.tokens) : Math.min(Math.max(MIN_BURST, perS * BURST_S), record.tokens + (nowMs - record.updatedMs) * perS / MS_PER_S)
    record.updatedMs = nowMs
    return record
  }

  return {
    note: (targetId, limitPerS) => set(targetId, limitPerS === undefined ? undefined : Math.min(MAX_PER_S, limitPerS), runtime.monotonicMs(), true),
    mayTake (targetId) {
      const record = refill(targetId)
      return record === undefined || record.tokens >= 1
    },
    take (targetId) {
      const record = refill(targetId)
      if (record !== undefined) record.tokens -= 1
    },
    share () {
      const nowMs = runtime.monotonicMs()
      return [...records].filter(([, { isOwn, atMs }]) => isOwn && nowMs - atMs < SHARED_MS)
        .map(([targetId, { limitPerS, atMs }]) => ({ targetId, limitPerS: limitPerS ?? null, ageMs: Math.round(nowMs - atMs) }))
    },
    applyPeerLimit ({ targetId, limitPerS, ageMs }) {
      const atMs = runtime.monotonicMs() - ageMs
      if ((records.get(targetId)?.atMs ?? -Infinity) < atMs) set(targetId, limitPerS ?? undefined, atMs, false)
    },
    count: () => [...records.values()].filter(({ limitPerS }) => limitPerS !== undefined).length,
    retain (targetIds) {
      for (const id of records.keys()) if (!targetIds.has(id)) records.delete(id)
    }
  }
}
