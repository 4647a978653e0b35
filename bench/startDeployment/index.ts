/**
 * Starts stand-ins and daemons as processes from the built files, and stops only those. Every
 * bench that runs processes uses it.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { hashToken } from '../../src/account/hashToken/index.js'

/** Root folder of the built files. */
const DIST = path.resolve(fileURLToPath(import.meta.url), '../../..')

/** Salt of the deployment's token hashes. */
const SALT = '00112233445566778899aabbccddeeff'

/** Token of the deployment's operator. */
export const OPERATOR_TOKEN = 'bench.bench-secret'

/** Longest wait for a process to listen. */
const START_TIMEOUT_MS = 30_000

/** Hashes a secret with the fixed salt, for accounts and operators of benches. */
export function benchTokenHash (secret: string): string {
  return hashToken(secret, SALT)
}

/** One started process. */
export interface StartedProcess {
  name: string
  pid: number
  child: ChildProcess
  /** The addresses that it printed on start. */
  listening: Record<string, unknown>
  logFile: string
  /** Resolves with the exit code, or the signal's name. */
  exited: Promise<number | string>
}

/** Which processes to start, and their settings. */
export interface DeploymentOptions {
  entries: number
  controls: number
  /** Plan of the stand-ins, to which object API and host list are added. */
  plan: Record<string, unknown>
  /** Fields added to each daemon's settings. */
  settings?: Record<string, unknown>
  /** Number of failure domains that the hosts are spread over; 3 by default. */
  failureDomains?: number
}

/** A running deployment. */
export interface Deployment extends AsyncDisposable {
  folder: string
  objectApiUrl: string
  hostListUrl: string
  /** `ip:port` by name of engine or service of the first stand-in process. */
  targets: Record<string, string>
  entries: StartedProcess[]
  controls: StartedProcess[]
  startStandin: (name: string, plan: Record<string, unknown>) => Promise<StartedProcess>
  startDaemon: (role: 'entry' | 'control', index: number) => Promise<StartedProcess>
  /** Calls an operator port: GET without a body, POST with one. */
  operate: (process: StartedProcess, route: string, body?: unknown) => Promise<{ status: number, body: any }>
}

/** Starts the processes of a deployment and waits until each listens. */
export async function startDeployment (options: DeploymentOptions): Promise<Deployment> {
  const folder = await mkdtemp(path.join(tmpdir(), 'coltsfootlead-'))
  const started: StartedProcess[] = []

  async function launch (name: string, script: string, args: string[]): Promise<StartedProcess> {
    const child = spawn(process.execPath, [path.join(DIST, script), ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    const exited = new Promise<number | string>(resolve => {
      child.once('exit', (code, signal) => resolve(code ?? signal ?? 'unknown'))
    })
    let stderrTail = ''
    child.stderr.on('data', (chunk: Buffer) => { stderrTail = (stderrTail + chunk.toString('utf8')).slice(-4_000) })
    const listening = await new Promise<Record<string, unknown>>((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`${name} did not listen: ${stderrTail}`)), START_TIMEOUT_MS)
      createInterface({ input: child.stdout }).on('line', line => {
        if (!line.startsWith('{"listening"')) return
        clearTimeout(timer)
        resolve((JSON.parse(line) as { listening: Record<string, unknown> }).listening)
      })
      child.once('exit', code => reject(new Error(`${name} exited with code ${code}: ${stderrTail}`)))
    })
    const startedProcess: StartedProcess = { name, pid: child.pid!, child, listening, logFile: path.join(folder, `${name}.log`), exited }
    started.push(startedProcess)
    return startedProcess
  }

  async function startStandin (name: string, plan: Record<string, unknown>): Promise<StartedProcess> {
    const file = path.join(folder, `${name}.jsonc`)
    await writeFile(file, JSON.stringify(plan))
    return await launch(name, 'standin/bin/coltsfootlead-standin.js', ['--plan', file])
  }

  const platform = await startStandin('standin', { objectApi: {}, hostList: {}, ...options.plan })
  const { objectApiUrl, hostListUrl, targets } = platform.listening as { objectApiUrl: string, hostListUrl: string, targets: Record<string, string> }

  async function startDaemon (role: 'entry' | 'control', index: number): Promise<StartedProcess> {
    const name = `${role}-${index}`
    const file = path.join(folder, `${name}.jsonc`)
    const domains = options.failureDomains ?? 3
    await writeFile(file, JSON.stringify({
      host: `host-${index}`,
      failureDomain: `domain-${index % domains}`,
      address: '127.0.0.1',
      objectApi: { url: objectApiUrl },
      hostList: { url: hostListUrl, pollMs: 500 },
      operators: [{ name: 'bench', tokenHash: benchTokenHash('bench-secret') }],
      log: { file: path.join(folder, `${name}.log`) },
      ...options.settings
    }))
    return await launch(name, `src/bin/coltsfootlead-${role}.js`, ['--settings', file])
  }

  const indexes = (count: number): number[] => Array.from({ length: count }, (_, index) => index + 1)
  const entries = await Promise.all(indexes(options.entries).map(index => startDaemon('entry', index)))
  const controls = await Promise.all(indexes(options.controls).map(index => startDaemon('control', index)))
  return {
    folder,
    objectApiUrl,
    hostListUrl,
    targets,
    entries,
    controls,
    startStandin,
    startDaemon,
    async operate (daemon, route, body) {
      const response = await fetch(`${String(daemon.listening.operator)}${route}`, {
        method: body === undefined ? 'GET' : 'POST',
        headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
        ...(body === undefined ? {} : { body: JSON.stringify(body) })
      })
      return { status: response.status, body: await response.json() }
    },
    async [Symbol.asyncDispose] () {
      for (const { child } of started) {
        child.kill('SIGCONT')
        child.kill('SIGKILL')
      }
      await Promise.all(started.map(entry => entry.exited))
      await rm(folder, { recursive: true, force: true })
    }
  }
}

/** Submits a ticket and waits until every live member reports it in force. */
export async function submitAndWait (deployment: Deployment, ticket: { number: number, scopes: Record<string, unknown> }): Promise<void> {
  const daemon = deployment.entries[0]!
  const submitted = await deployment.operate(daemon, '/v1/tickets', ticket)
  if (submitted.status !== 200) throw new Error(`ticket ${ticket.number}: ${JSON.stringify(submitted.body)}`)
  const members = deployment.entries.length + deployment.controls.length
  for (;;) {
    const { body } = await deployment.operate(daemon, `/v1/tickets/${ticket.number}`)
    if (body.state === 'inForce' && body.members >= members) return
    await new Promise(resolve => { setTimeout(resolve, 50) })
  }
}

/** Reads the events in a process's log file; none if there is no file. */
export async function readEvents (entry: StartedProcess): Promise<Array<Record<string, any>>> {
  const text = await readFile(entry.logFile, 'utf8').catch(() => '')
  return text.split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line) as Record<string, any>)
}
