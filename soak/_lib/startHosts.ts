/**
 * Gateways of the soak: the built program, one process a host, each with an address of its own on
 * the loopback and a proxy of its own before the store.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs'
import { constants } from 'node:os'
import { join } from 'node:path'
import { startProxy, type Proxy } from './startProxy.js'

/** A host under the control of the soak. */
export interface SoakHost extends AsyncDisposable {
  name: string
  address: () => string
  storeProxy: Proxy
  /** Raised with each start of the process. */
  life: () => number
  /** Whether calls to it may be harmed now: it was killed, paused or asked to stop. */
  isDisturbed: () => boolean
  /** Monotonic time until which it counts as disturbed, so that calls which began before know. */
  lastDisturbedMs: () => number
  isUp: () => boolean
  kill: () => Promise<void>
  /** Asks for a stop; resolves with what was wrong with it, if anything. */
  stop: () => Promise<string | undefined>
  start: (options?: { atNewAddress: boolean }) => void
  pause: (forMs: number) => Promise<void>
  signal: (signal: 'SIGHUP' | 'SIGUSR2') => void
  metricsUrl: () => string
  readinessUrl: () => string
}

/** What a host is started with. */
export interface HostOptions {
  name: string
  domain: string
  storeAddress: string
  /** Addresses of the hosts to ask first. */
  seedIps: () => string[]
  nextIp: () => string
  /** Folder of settings and logs. */
  folder: string
  onUnexpectedExit: (cause: string) => void
}

/** Grace of the platform, and what a stop may take beyond it on a busy machine, in milliseconds. */
const GRACE_MS = 8_000
const STOP_SLACK_MS = 1_500

/** How long after a disturbance calls may still show it, in milliseconds. */
const AFTERMATH_MS = 300

const PORTS = { frontend: 8227, readiness: 8220, control: 8229, metrics: 9464 }

/** Starts a host's process before a proxy to the store. */
export async function startHost (options: HostOptions): Promise<SoakHost> {
  const { name, domain, storeAddress, seedIps, nextIp, folder, onUnexpectedExit } = options
  const storeProxy = await startProxy(storeAddress)
  let ip = nextIp()
  let child: ChildProcess | undefined
  let exited: Promise<{ code: number | null, signal: string | null }> = Promise.resolve({ code: 0, signal: null })
  let life = 0
  let isExpectedToExit = false
  let isPaused = false
  let lastDisturbedMs = -Infinity
  const disturb = (): void => { lastDisturbedMs = performance.now() + AFTERMATH_MS }
  start()

  function start ({ atNewAddress } = { atNewAddress: false }): void {
    if (atNewAddress) ip = nextIp()
    const file = join(folder, `${name}.json`)
    writeFileSync(file, JSON.stringify({
      node_name: name,
      ip,
      zone: domain,
      listen: { frontend: `${ip}:${PORTS.frontend}`, readiness: `${ip}:${PORTS.readiness}`, control_plane: `${ip}:${PORTS.control}` },
      internal_ports: [7340, 7355],
      seed_nodes: seedIps().map(seed => `${seed}:${PORTS.control}`),
      bounds: { grace_s: GRACE_MS / 1_000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra_retries: 100 },
      platform: { address: storeProxy.address }
    }))
    const log = openSync(join(folder, `${name}.log`), 'a')
    const started = spawn(process.execPath, ['--require', join(import.meta.dirname, 'stepClock.cjs'), 'target/gateway.cjs'], {
      env: { ...process.env, COLTSFOOTLEAD_NODE_FILE: file }, stdio: ['ignore', log, log]
    })
    closeSync(log)
    child = started
    life++
    isExpectedToExit = false
    exited = new Promise(resolve => {
      started.once('exit', (code, signal) => {
        disturb()
        if (!isExpectedToExit && child === started) onUnexpectedExit(`exit code ${code}, signal ${signal}`)
        if (child === started) child = undefined
        resolve({ code, signal })
      })
    })
  }

  async function kill (): Promise<void> {
    isExpectedToExit = true
    disturb()
    child?.kill('SIGKILL')
    await exited
  }

  return {
    name,
    address: () => `${ip}:${PORTS.frontend}`,
    metricsUrl: () => `http://${ip}:${PORTS.metrics}/metrics`,
    readinessUrl: () => `http://${ip}:${PORTS.readiness}/`,
    storeProxy,
    life: () => life,
    isUp: () => child !== undefined && !isExpectedToExit,
    isDisturbed: () => isPaused || child === undefined,
    lastDisturbedMs: () => isPaused || child === undefined ? performance.now() : lastDisturbedMs,
    kill,
    async stop () {
      const stopping = child
      if (stopping === undefined) return undefined
      isExpectedToExit = true
      // Node.js itself catches SIGTERM from the start, so SIGHUP shows whether the program does.
      const wasCaught = isCaught(stopping, 'SIGHUP')
      let isLate = false
      const limit = setTimeout(() => {
        isLate = true
        stopping.kill('SIGKILL')
      }, GRACE_MS + STOP_SLACK_MS)
      stopping.kill('SIGTERM')
      const { code } = await exited
      clearTimeout(limit)
      if (isLate) return 'did not stop within its grace'
      return code === 0 || !wasCaught ? undefined : `stopped with exit code ${code}`
    },
    start,
    async pause (forMs) {
      const paused = child
      isPaused = true
      disturb()
      paused?.kill('SIGSTOP')
      await new Promise(resolve => setTimeout(resolve, forMs))
      paused?.kill('SIGCONT')
      isPaused = false
      disturb()
    },
    signal (signal) { if (child !== undefined && isCaught(child, signal)) child.kill(signal) },
    async [Symbol.asyncDispose] () {
      await kill()
      await storeProxy[Symbol.asyncDispose]()
    }
  }
}

/** Whether a process has begun to run its program: until it catches a signal, the signal ends any process. */
function isCaught (child: ChildProcess, signal: NodeJS.Signals): boolean {
  try {
    const caught = /^SigCgt:\s*(\w+)/m.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))?.[1] ?? '0'
    return (BigInt(`0x${caught}`) >> BigInt(constants.signals[signal] - 1) & 1n) === 1n
  } catch {
    // The process has just ended.
    return false
  }
}
