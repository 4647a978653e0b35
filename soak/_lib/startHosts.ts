/**
 * Gateways of the soak test: the built program in one process per host, each with its own loopback
 * address and its own proxy to the store.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs'
import { constants } from 'node:os'
import { join } from 'node:path'
import { startProxy, type Proxy } from './startProxy.js'

/** Planned work on one process of a host, in monotonic milliseconds. */
export interface PlannedWork {
  /** Time of its SIGTERM. */
  stoppedMs: number | undefined
  /** Times of its SIGHUPs. */
  reloadsMs: number[]
}

/** A host under the control of the soak test. */
export interface SoakHost extends AsyncDisposable {
  name: string
  address: () => string
  storeProxy: Proxy
  /** Number of times the process was started. */
  startCount: () => number
  /** Planned work on the current process. */
  plannedWork: () => PlannedWork
  /** Starts an unplanned fault of the host, its links or the store; the returned function ends it. */
  beginUnplanned: () => () => void
  /** Whether there was no unplanned fault from a moment before a monotonic time in milliseconds until now. */
  isSoundSince: (sinceMs: number) => boolean
  /** Whether calls to the host may fail now, because it is paused or its process has ended. */
  isDisturbed: () => boolean
  /** Monotonic time until which calls to the host may fail, in milliseconds; calls sent later must succeed. */
  lastDisturbedMs: () => number
  isUp: () => boolean
  kill: () => Promise<void>
  /** Stops the process with SIGTERM; resolves with a description of the problem, if there was one. */
  stop: () => Promise<string | undefined>
  start: (options?: { atNewAddress?: boolean, program?: string }) => void
  /** The program that runs now, and whether it was the current build at a start. */
  program: () => string
  wasCurrentBuild: (startCount: number) => boolean
  pause: (forMs: number) => Promise<void>
  signal: (signal: 'SIGHUP' | 'SIGUSR2') => void
  /** Cuts the host off from addresses: new connections hang or are refused, and open ones may be reset; disposing of it ends the cut. */
  cutOff: (addresses: readonly string[], options: { isRefused: boolean, isReset: boolean }) => Disposable
  metricsUrl: () => string
  readinessUrl: () => string
}

/** Options of a host. */
export interface HostOptions {
  name: string
  failureDomain: string
  storeAddress: string
  /** IP addresses of the seed nodes. */
  seedIps: () => string[]
  nextIp: () => string
  /** Folder for settings and logs. */
  folder: string
  /** Path of the program that runs first. */
  program: string
  onUnexpectedExit: (cause: string) => void
}

/** Path of the program of the current build. */
export const CURRENT_PROGRAM = 'target/gateway.cjs'

/** Grace period for a stop, and how much longer it may take on a busy machine, in milliseconds. */
export const GRACE_MS = 8_000
const STOP_TOLERANCE_MS = 1_500

/** How long before a call an unplanned fault must have ended for the call to be unaffected, in milliseconds. */
const STABILITY_MS = 1_000

/** How long after a disturbance calls may still fail because of it, in milliseconds. */
const DISTURBANCE_TAIL_MS = 300

/** Modules that let the soak test disturb a host's process from within. */
const PRELOADED = ['stepClock.cjs', 'cutOff.cjs']

const PORTS = { frontend: 8227, readiness: 8220, control: 8229, metrics: 9464 }

/** Starts the proxy to the store and the process of a host. */
export async function startHost (options: HostOptions): Promise<SoakHost> {
  const { name, failureDomain, storeAddress, seedIps, nextIp, folder, onUnexpectedExit } = options
  const storeProxy = await startProxy(storeAddress)
  let ip = nextIp()
  let { program } = options
  const startedPrograms: string[] = []
  let child: ChildProcess | undefined
  let exited: Promise<{ code: number | null, signal: string | null }> = Promise.resolve({ code: 0, signal: null })
  let startCount = 0
  let isExpectedToExit = false
  let isPaused = false
  let lastDisturbedMs = -Infinity
  let work: PlannedWork = { stoppedMs: undefined, reloadsMs: [] }
  let unplannedCount = 0
  let lastUnplannedMs = -Infinity
  const markDisturbed = (): void => { lastDisturbedMs = performance.now() + DISTURBANCE_TAIL_MS }
  const beginUnplanned = (): () => void => {
    unplannedCount++
    return () => {
      unplannedCount--
      lastUnplannedMs = performance.now()
    }
  }
  start()

  function start ({ atNewAddress = false, program: nextProgram = program } = {}): void {
    if (atNewAddress) ip = nextIp()
    program = nextProgram
    startedPrograms.push(program)
    const file = join(folder, `${name}.json`)
    writeFileSync(file, JSON.stringify({
      node_name: name,
      ip,
      zone: failureDomain,
      listen: { frontend: `${ip}:${PORTS.frontend}`, readiness: `${ip}:${PORTS.readiness}`, control_plane: `${ip}:${PORTS.control}` },
      internal_ports: [7340, 7355],
      seed_nodes: seedIps().map(seed => `${seed}:${PORTS.control}`),
      bounds: { grace_s: GRACE_MS / 1_000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra_retries: 100 },
      platform: { address: storeProxy.address }
    }))
    const log = openSync(join(folder, `${name}.log`), 'a')
    const started = spawn(process.execPath, [...PRELOADED.flatMap(module => ['--require', join(import.meta.dirname, module)]), program], {
      env: { ...process.env, COLTSFOOTLEAD_NODE_FILE: file }, stdio: ['ignore', log, log, 'ipc']
    })
    closeSync(log)
    child = started
    startCount++
    work = { stoppedMs: undefined, reloadsMs: [] }
    isExpectedToExit = false
    exited = new Promise(resolve => {
      started.once('exit', (code, signal) => {
        markDisturbed()
        if (!isExpectedToExit && child === started) lastUnplannedMs = performance.now()
        if (!isExpectedToExit && child === started) onUnexpectedExit(`exit code ${code}, signal ${signal}`)
        if (child === started) child = undefined
        resolve({ code, signal })
      })
    })
  }

  async function kill (): Promise<void> {
    isExpectedToExit = true
    markDisturbed()
    lastUnplannedMs = performance.now()
    child?.kill('SIGKILL')
    await exited
  }

  return {
    name,
    address: () => `${ip}:${PORTS.frontend}`,
    metricsUrl: () => `http://${ip}:${PORTS.metrics}/metrics`,
    readinessUrl: () => `http://${ip}:${PORTS.readiness}/`,
    storeProxy,
    startCount: () => startCount,
    program: () => program,
    wasCurrentBuild: count => startedPrograms[count - 1] === CURRENT_PROGRAM,
    plannedWork: () => work,
    beginUnplanned,
    isSoundSince: sinceMs => unplannedCount === 0 && lastUnplannedMs + STABILITY_MS < sinceMs,
    isUp: () => child !== undefined && !isExpectedToExit,
    isDisturbed: () => isPaused || child === undefined,
    lastDisturbedMs: () => isPaused || child === undefined ? performance.now() : lastDisturbedMs,
    kill,
    async stop () {
      const stopping = child
      if (stopping === undefined) return undefined
      isExpectedToExit = true
      // Node.js catches SIGTERM from the start, so SIGHUP shows whether the program has set its handlers.
      const hadHandlers = catchesSignal(stopping, 'SIGHUP')
      let isTimedOut = false
      const killTimer = setTimeout(() => {
        isTimedOut = true
        stopping.kill('SIGKILL')
      }, GRACE_MS + STOP_TOLERANCE_MS)
      work.stoppedMs = performance.now()
      stopping.kill('SIGTERM')
      const { code } = await exited
      clearTimeout(killTimer)
      if (isTimedOut) return 'did not stop within the grace period'
      return code === 0 || !hadHandlers ? undefined : `stopped with exit code ${code}`
    },
    start,
    async pause (forMs) {
      const paused = child
      const endUnplanned = beginUnplanned()
      isPaused = true
      markDisturbed()
      paused?.kill('SIGSTOP')
      await new Promise(resolve => setTimeout(resolve, forMs))
      paused?.kill('SIGCONT')
      isPaused = false
      markDisturbed()
      endUnplanned()
    },
    signal (signal) {
      if (child === undefined || !catchesSignal(child, signal)) return
      if (signal === 'SIGHUP') work.reloadsMs.push(performance.now())
      else beginUnplanned()()
      child.kill(signal)
    },
    cutOff (addresses, options) {
      const cut = child
      const endUnplanned = beginUnplanned()
      if (cut?.connected === true) cut.send({ addresses, ...options })
      return {
        [Symbol.dispose] () {
          if (cut?.connected === true) cut.send({ addresses: [] })
          endUnplanned()
        }
      }
    },
    async [Symbol.asyncDispose] () {
      await kill()
      await storeProxy[Symbol.asyncDispose]()
    }
  }
}

/** Whether a process has a handler for a signal; before the program sets it, the signal ends the process. */
function catchesSignal (child: ChildProcess, signal: NodeJS.Signals): boolean {
  try {
    const caught = /^SigCgt:\s*(\w+)/m.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))?.[1] ?? '0'
    return (BigInt(`0x${caught}`) >> BigInt(constants.signals[signal] - 1) & 1n) === 1n
  } catch {
    // The process has ended in the meantime.
    return false
  }
}
