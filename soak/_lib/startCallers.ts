/**
 * Callers of the soak. Each keeps its connection to a host open as long as it lasts, sends one
 * request after the other and checks what it gets: one final answer in time, whole, and true.
 */
import http from 'node:http'
import { countEvents } from './createTargetHandler.js'
import type { SoakHost } from './startHosts.js'

/** What a caller saw of one request. */
export interface CallRecord {
  requestId: string
  kind: 'safe' | 'unsafe' | 'stream'
  host: SoakHost
  /** Number of the host's process when it was sent. */
  life: number
  key: string
  sentMs: number
  endedMs: number
  deadlineMs: number
  /** 0 when no answer came. */
  status: number
  retryAfter: string | undefined
  body: string
  isComplete: boolean
}

/** Running callers. */
export interface Callers {
  /** Records of ended calls, in order of their end. */
  records: CallRecord[]
  /** Lets calls under way end, and sends no more. */
  stop: () => Promise<void>
}

/** Deadline of a request, in milliseconds. */
const DEADLINE_MS = 4_000

/** Longest pause of a caller between two requests, in milliseconds. */
const PAUSE_MS = 60

/** Time after which a caller gives up an answer that never ends, beyond its deadline, in milliseconds. */
const ABANDON_MS = 3_000

const KINDS = ['stream', 'stream', 'unsafe', 'safe'] as const

/** Starts callers that choose a ready host for each connection. */
export function startCallers (options: { hosts: readonly SoakHost[], count: number, key: () => string, random: () => number }): Callers {
  const { hosts, count, key, random } = options
  const records: CallRecord[] = []
  const controller = new AbortController()
  const { signal } = controller
  let numbers = 0
  const tasks = Array.from({ length: count }, runCaller)

  async function runCaller (): Promise<void> {
    while (!signal.aborted) {
      const host = hosts[Math.floor(random() * hosts.length)]!
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
      // The balancer sends new connections to ready hosts only.
      let isUsable = await isReady(host)
      if (!isUsable) await pause(PAUSE_MS)
      while (isUsable && !signal.aborted) {
        const record = await call(host, agent)
        records.push(record)
        isUsable = record.status > 0 && record.isComplete && random() > 0.05
        await pause(random() * PAUSE_MS)
      }
      agent.destroy()
    }
  }

  function call (host: SoakHost, agent: http.Agent): Promise<CallRecord> {
    const kind = KINDS[Math.floor(random() * KINDS.length)]!
    const requestId = `r${++numbers}`
    const record: CallRecord = { requestId, kind, host, life: host.life(), key: key(), sentMs: performance.now(), endedMs: 0, deadlineMs: DEADLINE_MS, status: 0, retryAfter: undefined, body: '', isComplete: false }
    const [address, port] = host.address().split(':')
    return new Promise(resolve => {
      const finish = (): void => {
        clearTimeout(limit)
        record.endedMs = performance.now()
        resolve(record)
      }
      const request = http.request({
        host: address,
        port: Number(port),
        agent,
        method: kind === 'safe' ? 'GET' : 'POST',
        path: `/${kind}/x`,
        headers: { host: 'soak.example', authorization: `Token ${record.key}`, 'request-id': requestId, 'deadline-ms': DEADLINE_MS, 'token-usage': '100,60' }
      }, response => {
        record.status = response.statusCode ?? 0
        record.retryAfter = response.headers['retry-after']
        response.on('data', chunk => { record.body += chunk })
        response.on('error', () => { /* The end of the response tells whether it was whole. */ })
        response.on('close', () => {
          record.isComplete = response.complete
          finish()
        })
      })
      const limit = setTimeout(() => request.destroy(), DEADLINE_MS + ABANDON_MS)
      request.on('error', finish)
      request.end(kind === 'safe' ? undefined : 'body')
    })
  }

  return {
    records,
    async stop () {
      controller.abort()
      await Promise.all(tasks)
    }
  }
}

/** Whether the events of a complete stream are all there, once and in order. */
export function isWholeStream ({ requestId, body }: CallRecord): boolean {
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
  return ids.length === countEvents(requestId) && ids.every((id, index) => id === index + 1)
}

/** Whether the events of a stream that broke off follow each other from the first one. */
export function isCleanBeginning ({ body }: CallRecord): boolean {
  return [...body.matchAll(/^id: (\d+)$/gm)].every((match, index) => Number(match[1]) === index + 1)
}

/** Whether a host says that it is ready. */
export function isReady (host: SoakHost): Promise<boolean> {
  return new Promise(resolve => {
    const request = http.get(host.readinessUrl(), { agent: false, timeout: 500 }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(false))
  })
}

/** Resolves after a time. */
export function pause (forMs: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, forMs) })
}
