/**
 * One run of the soak test: each host is a process of the built gateway, stand-ins play the
 * platform, callers send requests, and faults are started one after the other and may overlap. The
 * seed determines the order and size of the faults, but not the timing of the processes.
 */
import { mkdir, rm } from 'node:fs/promises'
import { join } from 'node:path'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { request } from 'undici'
import { servePlatformStore, type PlatformStoreStandin } from '../../standin/platform/servePlatformStore/index.js'
import { createResourceStack } from '../../src/runtime/createResourceStack/index.js'
import { checkRecords, checkRecovery, type KeyValidity } from '../_lib/checkRecords.js'
import { FAULTS } from '../_lib/faults.js'
import { isReady, pause, startCallers, type CallRecord } from '../_lib/startCallers.js'
import { CURRENT_PROGRAM, startHost, type SoakHost } from '../_lib/startHosts.js'
import { startTargets, type SoakTargets } from '../_lib/startTargets.js'

/** What the faults act on, and their source of randomness. */
export interface FaultContext {
  hosts: SoakHost[]
  targets: SoakTargets
  /** Paths of the programs of all versions, the current build last. */
  programs: readonly string[]
  store: PlatformStoreStandin
  random: () => number
  /** Returns a random integer from 0 to below the limit. */
  randomInt: (limit: number) => number
  /** Resolves after a random time of up to `maxMs`. */
  pauseRandomly: (maxMs: number) => Promise<void>
  changeConfiguration: () => void
  recordStoreRecovery: () => void
  report: (finding: string) => void
}

/** Options of a run. */
export interface SoakOptions {
  seed: number
  /** Time during which faults are started, in milliseconds. */
  durationMs: number
  hostCount: number
  /** Folder for the hosts' settings and logs; those of a run without findings are removed. */
  folder: string
  /** Programs of earlier versions; hosts begin with the first one and are replaced by others meanwhile. */
  earlierPrograms?: readonly string[]
  /** Names of the kinds of faults to inject; all of them by default. */
  kinds?: readonly string[]
}

/** Result of a run. */
export interface SoakOutcome {
  findings: string[]
  calls: number
  /** Number of calls by status; 0 for calls without an answer. */
  statuses: Record<string, number>
  /** Faults in order, each with its start in milliseconds since the beginning of the faults. */
  faults: string[]
  /** Longest time for which the machine did not run this process, in milliseconds; findings on times are doubtful if it is long. */
  longestStallMs: number
}

const FAILURE_DOMAINS = ['north', 'south']
const ENGINES_PER_FAILURE_DOMAIN = 4
const CALLERS_PER_HOST = 4

/** Key that is never revoked. */
const PERMANENT_KEY = 'steady'

/** Callers use the permanent key or one of this many last ones. */
const RECENT_KEYS = 4

/** Longest wait until hosts are ready, and wait until the effects of the last faults are over, in milliseconds. */
const READY_TIMEOUT_MS = 15_000
const SETTLE_MS = 4_000

/** Longest time between the starts of two faults, in milliseconds. */
const MAX_FAULT_INTERVAL_MS = 900

/** Window of the retry budget, in milliseconds. */
const BUDGET_WINDOW_MS = 10_000

/** Interval at which the configuration version of every host is read, in milliseconds. */
const VERSION_INTERVAL_MS = 200

/** Nanoseconds in a millisecond. */
const NS_PER_MS = 1_000_000

let runCount = 0

/** Runs the soak test with one seed; the built program must be in `target/`. */
export async function runSoak (options: SoakOptions): Promise<SoakOutcome> {
  const { seed, durationMs, hostCount, earlierPrograms = [] } = options
  const programs = [...earlierPrograms, CURRENT_PROGRAM]
  const kinds = (options.kinds ?? Object.keys(FAULTS)).filter(kind => programs.length > 1 || kind !== 'hostReplacedByOtherVersion')
  const folder = join(options.folder, `seed-${seed}`)
  await rm(folder, { recursive: true, force: true })
  await mkdir(folder, { recursive: true })
  const generator = xoroshiro128plus(seed)
  const random = (): number => uniformFloat64(generator)
  const findings: string[] = []
  const faults: string[] = []
  const report = (finding: string): void => { findings.push(finding) }
  // Hosts of parallel runs must not share addresses, so the network contains the process id and the run's number.
  const network = `127.${1 + process.pid % 200}.${++runCount % 250}`
  let addressCount = 0
  const nextIp = (): string => `${network}.${1 + addressCount++ % 250}`
  await using store = await servePlatformStore()
  const keys = new Map<string, KeyValidity>()
  const configurationsMs: number[] = []
  let version = 0
  let storeRecoveredMs = 0
  changeConfiguration()
  await using targets = await startTargets(store, { failureDomains: FAILURE_DOMAINS, enginesPerFailureDomain: ENGINES_PER_FAILURE_DOMAIN, random })
  const seedIps = [1, 2].map(index => `${network}.${index}`)
  await using hosts = createResourceStack()
  const soakHosts: SoakHost[] = []
  for (let index = 0; index < hostCount; index++) {
    const name = `host-${index}`
    soakHosts.push(hosts.use(await startHost({
      name, failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!, storeAddress: store.address, seedIps: () => seedIps, nextIp, folder, program: programs[0]!, onUnexpectedExit: cause => report(`${name} ended unexpectedly: ${cause}`)
    })))
  }
  const context: FaultContext = {
    hosts: soakHosts,
    targets,
    programs,
    store,
    random,
    randomInt: limit => Math.floor(random() * limit),
    pauseRandomly: maxMs => pause(random() * maxMs),
    changeConfiguration,
    recordStoreRecovery: () => { storeRecoveredMs = performance.now() },
    report
  }
  if (!await areAllReady(soakHosts)) report('hosts did not become ready')
  const controller = new AbortController()
  const versionsWatched = watchVersions(soakHosts, { signal: controller.signal, report })
  const pickKey = (): string => random() < 0.5 ? PERMANENT_KEY : [...keys.keys()].at(-1 - Math.floor(random() * Math.min(keys.size, RECENT_KEYS)))!
  const callers = startCallers({ hosts: soakHosts, count: CALLERS_PER_HOST * hostCount, key: pickKey, crashingPart: targets.sentCrashingPart, random })
  const stalls = monitorEventLoopDelay()
  stalls.enable()
  const startedMs = performance.now()
  const runningFaults: Array<Promise<void>> = []
  while (performance.now() - startedMs < durationMs) {
    const name = kinds[context.randomInt(kinds.length)]!
    faults.push(`${Math.round(performance.now() - startedMs)} ${name}`)
    runningFaults.push(FAULTS[name]!(context))
    await context.pauseRandomly(MAX_FAULT_INTERVAL_MS)
  }
  await Promise.all(runningFaults)
  if (!await areAllReady(soakHosts)) report('hosts did not become ready after the faults')
  await pause(SETTLE_MS)
  const settledMs = performance.now()
  await pause(SETTLE_MS / 2)
  await callers.stop()
  controller.abort()
  await versionsWatched
  const { records } = callers
  const budgetWindows = Math.ceil((performance.now() - startedMs) / BUDGET_WINDOW_MS)
  findings.push(...checkRecords({ records, ledger: targets.ledger, crashesMs: targets.crashesMs, keys, configurationsMs, storeRecoveredMs, budgetWindows }, isCallUndisturbed), ...checkRecovery(records, settledMs))
  if (findings.length === 0) await rm(folder, { recursive: true, force: true })
  return { findings, calls: records.length, statuses: countStatuses(records), faults, longestStallMs: Math.round(stalls.max / NS_PER_MS) }

  /** Publishes a new configuration version, with a new key in place of the last one. */
  function changeConfiguration (): void {
    const nowMs = performance.now()
    for (const validity of keys.values()) validity.revokedMs = Math.min(validity.revokedMs, nowMs)
    const key = `key-${++version}`
    keys.set(key, { addedMs: nowMs, revokedMs: Infinity })
    configurationsMs.push(nowMs)
    store.put('config', 'main', buildConfiguration(version, [PERMANENT_KEY, key]))
  }
}

/** Whether no fault affected the host from before the call until its end, and its process is still the same. */
function isCallUndisturbed (record: CallRecord): boolean {
  return record.host.startCount() === record.startCount && record.host.lastDisturbedMs() < record.sentMs
}

function countStatuses (records: readonly CallRecord[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { status } of records) counts[status] = (counts[status] ?? 0) + 1
  return counts
}

async function areAllReady (hosts: readonly SoakHost[]): Promise<boolean> {
  const timeoutAtMs = performance.now() + READY_TIMEOUT_MS
  while (performance.now() < timeoutAtMs) {
    const ready = await Promise.all(hosts.map(isReady))
    if (ready.every(Boolean)) return true
    await pause(50)
  }
  return false
}

/** Polls the configuration version of every host; it must not decrease while a process runs. */
async function watchVersions (hosts: readonly SoakHost[], { signal, report }: { signal: AbortSignal, report: (finding: string) => void }): Promise<void> {
  const highestVersions = new Map<string, number>()
  while (!signal.aborted) {
    await Promise.all(hosts.map(async host => {
      const processStart = `${host.name} start ${host.startCount()}`
      const version = await readVersion(host)
      if (version === undefined || processStart !== `${host.name} start ${host.startCount()}`) return
      if (version < (highestVersions.get(processStart) ?? -1)) report(`${processStart}: version went from ${highestVersions.get(processStart)} back to ${version}`)
      highestVersions.set(processStart, version)
    }))
    await pause(VERSION_INTERVAL_MS)
  }
}

/** Reads a host's configuration version; `undefined` if the host does not answer because it is down or paused. */
async function readVersion (host: SoakHost): Promise<number | undefined> {
  try {
    const { body } = await request(host.metricsUrl(), { signal: AbortSignal.timeout(1_000), reset: true })
    return Number(/^coltsfootlead_gateway_configuration_version (-?\d+)/m.exec(await body.text())?.[1])
  } catch {
    return undefined
  }
}

function buildConfiguration (version: number, keys: string[]): unknown {
  // Time-outs differ by version, but no route's is below the deadline of its requests.
  const route = { host: 'soak.example', timeout_ms: 4_000 + version % 3 * 1_000, target_latency_ms: 500, priority: 1, max_attempts: 2, public: false }
  return {
    version,
    routes: [
      { ...route, name: 'safe', path_prefix: '/safe/', kind: 'safe', service: 'orders' },
      { ...route, name: 'unsafe', path_prefix: '/unsafe/', kind: 'unsafe', service: 'orders', max_attempts: 1 },
      { ...route, name: 'stream', path_prefix: '/stream/', kind: 'streaming', service: 'model', resumable: true, timeout_ms: 20_000 + version % 3 * 1_000, target_gap_ms: 250 }
    ],
    services: [{ name: 'orders' }, {
      name: 'model',
      engine: {
        slots: 32, kv_token_bytes: 12_000, step_ms: 5, per_seq_ms: 0.01, context_per_k: 0.01, read_per_s: 100_000, loads_at_once: 4, models: [{ load_time_s: 0.3 }], usual: { prompt: 100, answer: 60 }, layers: 12, layer_mb: 1_000, activation_bytes: 10_000, pipe_mbps: 10_000, kinds: [{ name: 'small', megabytes: 8_000, pace: 1, read_factor: 1 }]
      }
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 5_000 + version % 4 * 5_000 },
    tenants: [{ name: 'studio', api_keys: keys }]
  }
}
