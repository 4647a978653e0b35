/**
 * One seed of the soak: hosts run the built gateway as processes of their own, stand-ins of the
 * platform serve them, callers call, and faults come in series and overlap. What a seed fixes is
 * the order and the size of the faults; the processes run on the machine's clock.
 */
import { mkdir, rm } from 'node:fs/promises'
import { join } from 'node:path'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { request } from 'undici'
import { servePlatformStore, type PlatformStoreStandin } from '../../standin/platform/servePlatformStore/index.js'
import { createResourceStack } from '../../src/runtime/createResourceStack/index.js'
import { checkRecords, type KeyLife } from '../_lib/checkRecords.js'
import { FAULTS } from '../_lib/faults.js'
import { isReady, isWholeStream, pause, startCallers, type CallRecord } from '../_lib/startCallers.js'
import { startHost, type SoakHost } from '../_lib/startHosts.js'
import { startTargets, type SoakTargets } from '../_lib/startTargets.js'

/** What the faults act on. */
export interface World {
  hosts: SoakHost[]
  targets: SoakTargets
  store: PlatformStoreStandin
  random: () => number
  /** A whole number from 0 to below the limit. */
  draw: (limit: number) => number
  pauseUpTo: (mostMs: number) => Promise<void>
  changeConfiguration: () => void
  noteStoreBack: () => void
  report: (finding: string) => void
}

/** Size of a run. */
export interface SoakOptions {
  seed: number
  /** Time in which faults are started, in milliseconds. */
  durationMs: number
  hostCount: number
  /** Folder for settings and logs of the hosts; a run without findings removes it. */
  folder: string
  /** Names of the kinds of faults; all of them by default. */
  kinds?: readonly string[]
}

/** What a run found. */
export interface SoakOutcome {
  findings: string[]
  calls: number
  /** Calls by status, 0 for those without an answer. */
  statuses: Record<string, number>
  /** Faults in order, with their start in milliseconds from the first one. */
  faults: string[]
}

const DOMAINS = ['north', 'south']
const ENGINES_PER_DOMAIN = 4
const CALLERS_PER_HOST = 4

/** Key that is never revoked. */
const STEADY_KEY = 'steady'

/** Longest wait until hosts are ready, and for the end of the last faults' effects, in milliseconds. */
const READY_LIMIT_MS = 15_000
const SETTLE_MS = 4_000

/** Longest time between the starts of two faults, in milliseconds. */
const FAULT_GAP_MS = 900

/** Window of the retry budget, in milliseconds. */
const BUDGET_WINDOW_MS = 10_000

/** Interval at which the version in force is read at every host, in milliseconds. */
const VERSION_INTERVAL_MS = 200

let runs = 0

/** Plays one seed; the built program must be in `target/`. */
export async function runSoak (options: SoakOptions): Promise<SoakOutcome> {
  const { seed, durationMs, hostCount, kinds = Object.keys(FAULTS) } = options
  const folder = join(options.folder, `seed-${seed}`)
  await rm(folder, { recursive: true, force: true })
  await mkdir(folder, { recursive: true })
  const generator = xoroshiro128plus(seed)
  const random = (): number => uniformFloat64(generator)
  const findings: string[] = []
  const faults: string[] = []
  const report = (finding: string): void => { findings.push(finding) }
  // Hosts of several runs at once must not share addresses; the digits are those of the process.
  const network = `127.${1 + process.pid % 200}.${++runs % 250}`
  let addresses = 0
  const nextIp = (): string => `${network}.${1 + addresses++ % 250}`
  await using store = await servePlatformStore()
  const keys = new Map<string, KeyLife>()
  let version = 0
  let storeBackMs = 0
  changeConfiguration()
  await using targets = await startTargets(store, { domains: DOMAINS, enginesPerDomain: ENGINES_PER_DOMAIN, random })
  const seedIps = [1, 2].map(index => `${network}.${index}`)
  await using hosts = createResourceStack()
  const hostList: SoakHost[] = []
  for (let index = 0; index < hostCount; index++) {
    const name = `host-${index}`
    hostList.push(hosts.use(await startHost({
      name, domain: DOMAINS[index % DOMAINS.length]!, storeAddress: store.address, seedIps: () => seedIps, nextIp, folder, onUnexpectedExit: cause => report(`${name} ended by itself: ${cause}`)
    })))
  }
  const world: World = {
    hosts: hostList,
    targets,
    store,
    random,
    draw: limit => Math.floor(random() * limit),
    pauseUpTo: mostMs => pause(random() * mostMs),
    changeConfiguration,
    noteStoreBack: () => { storeBackMs = performance.now() },
    report
  }
  if (!await areAllReady(hostList)) report('hosts did not become ready')
  const controller = new AbortController()
  const watched = watchVersions(hostList, { signal: controller.signal, report })
  const newestKey = (): string => random() < 0.5 ? STEADY_KEY : [...keys.keys()][Math.floor(random() * keys.size)]!
  const callers = startCallers({ hosts: hostList, count: CALLERS_PER_HOST * hostCount, key: newestKey, random })
  const startedMs = performance.now()
  const running: Array<Promise<void>> = []
  while (performance.now() - startedMs < durationMs) {
    const name = kinds[world.draw(kinds.length)]!
    faults.push(`${Math.round(performance.now() - startedMs)} ${name}`)
    running.push(FAULTS[name]!(world))
    await world.pauseUpTo(FAULT_GAP_MS)
  }
  await Promise.all(running)
  if (!await areAllReady(hostList)) report('hosts did not become ready after the faults')
  await pause(SETTLE_MS)
  const settledMs = performance.now()
  await pause(SETTLE_MS / 2)
  await callers.stop()
  controller.abort()
  await watched
  const { records } = callers
  const windows = Math.ceil((performance.now() - startedMs) / BUDGET_WINDOW_MS)
  findings.push(...checkRecords({ records, ledger: targets.ledger, keys, storeBackMs, windows }, isUndisturbed), ...checkRecovery(records, settledMs))
  if (findings.length === 0) await rm(folder, { recursive: true, force: true })
  return { findings, calls: records.length, statuses: countStatuses(records), faults }

  /** Puts a new version into force, with a new key in place of the last one. */
  function changeConfiguration (): void {
    const nowMs = performance.now()
    for (const life of keys.values()) life.toMs = Math.min(life.toMs, nowMs)
    const key = `key-${++version}`
    keys.set(key, { fromMs: nowMs, toMs: Infinity })
    store.put('config', 'main', buildConfiguration(version, [STEADY_KEY, key]))
  }
}

/** A host that was not touched from before a call until its end, and whose process is still the same. */
function isUndisturbed (record: CallRecord): boolean {
  return record.host.life() === record.life && record.host.lastDisturbedMs() < record.sentMs
}

/** Once the faults are over every kind of call is served at every host. */
function checkRecovery (records: readonly CallRecord[], settledMs: number): string[] {
  const late = records.filter(record => record.sentMs > settledMs && record.status !== 401)
  const failed = late.filter(record => record.kind === 'stream' ? record.status !== 200 || !isWholeStream(record) : ![200, 500, 502].includes(record.status))
  return failed.map(record => `${record.requestId} (${record.kind} at ${record.host.name}): status ${record.status} after the faults were over`)
}

function countStatuses (records: readonly CallRecord[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { status } of records) counts[status] = (counts[status] ?? 0) + 1
  return counts
}

async function areAllReady (hosts: readonly SoakHost[]): Promise<boolean> {
  const endMs = performance.now() + READY_LIMIT_MS
  while (performance.now() < endMs) {
    const ready = await Promise.all(hosts.map(isReady))
    if (ready.every(Boolean)) return true
    await pause(50)
  }
  return false
}

/** Reads the version in force at every host; it never goes back within one life of a process. */
async function watchVersions (hosts: readonly SoakHost[], { signal, report }: { signal: AbortSignal, report: (finding: string) => void }): Promise<void> {
  const highest = new Map<string, number>()
  while (!signal.aborted) {
    await Promise.all(hosts.map(async host => {
      const life = `${host.name} life ${host.life()}`
      const version = await readVersion(host)
      if (version === undefined || life !== `${host.name} life ${host.life()}`) return
      if (version < (highest.get(life) ?? -1)) report(`${life}: version went from ${highest.get(life)} back to ${version}`)
      highest.set(life, version)
    }))
    await pause(VERSION_INTERVAL_MS)
  }
}

/** `undefined` while the host does not answer, as it is down or paused. */
async function readVersion (host: SoakHost): Promise<number | undefined> {
  try {
    const { body } = await request(host.metricsUrl(), { signal: AbortSignal.timeout(1_000), reset: true })
    return Number(/^coltsfootlead_gateway_configuration_version (-?\d+)/m.exec(await body.text())?.[1])
  } catch {
    return undefined
  }
}

function buildConfiguration (version: number, keys: string[]): unknown {
  const route = { host: 'soak.example', timeout_ms: 4_000, target_latency_ms: 500, priority: 1, max_attempts: 2, public: false }
  return {
    version,
    routes: [
      { ...route, name: 'safe', path_prefix: '/safe/', kind: 'safe', service: 'orders' },
      { ...route, name: 'unsafe', path_prefix: '/unsafe/', kind: 'unsafe', service: 'orders', max_attempts: 1 },
      { ...route, name: 'stream', path_prefix: '/stream/', kind: 'streaming', service: 'model', resumable: true, target_gap_ms: 250 }
    ],
    services: [{ name: 'orders' }, {
      name: 'model',
      engine: {
        slots: 32, kv_token_bytes: 12_000, step_ms: 5, per_seq_ms: 0.01, context_per_k: 0.01, read_per_s: 100_000, loads_at_once: 4, models: [{ load_time_s: 0.3 }], usual: { prompt: 100, answer: 60 }, layers: 12, layer_mb: 1_000, activation_bytes: 10_000, pipe_mbps: 10_000, kinds: [{ name: 'small', megabytes: 8_000, pace: 1, read_factor: 1 }]
      }
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'studio', api_keys: keys }]
  }
}
