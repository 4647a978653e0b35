/**
 * Serves a stand-in engine over HTTP. A stage keeps one streaming request open to each stage that
 * it sends frames to.
 */
import { openSync, writeSync } from 'node:fs'
import http, { type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { EngineOrder, OpenSequence } from '../../../src/engine/types.js'
import { createLineSplitter } from '../../../src/engine/_lib/createLineSplitter.js'
import { listen, type ListeningServer } from '../../../src/http/listen/index.js'
import { createSystemRuntime } from '../../../src/runtime/createSystemRuntime/index.js'
import { readJson, sendJson } from '../../_lib/json.js'
import { createEngine, type Engine, type EngineOptions } from '../createEngine/index.js'
import type { LedgerRow, LinkFrame } from '../types.js'

/** An HTTP server with its engine. */
export interface ServedEngine extends ListeningServer {
  engine: Engine
}

/** Address, layers and speed of an engine. */
export type ServeEngineOptions = Pick<EngineOptions, 'target' | 'model' | 'version' | 'fromLayer' | 'toLayer' | 'tokensPerS' | 'stepMs' | 'linkTokensPerS' | 'linkDelayMs'> & {
  address: string
  port: number
  /** File to which each ledger row is appended, so that the ledger survives the end of the process. */
  ledgerFile?: string | undefined
}

/**
 * @name serveEngine
 * @summary Starts an HTTP server for one engine.
 * @param options - Address, layers and speed.
 * @returns The server, once it listens.
 *
 * @example
 * await using server = await serveEngine({ target: 'engine-1', address: '127.0.0.1', port: 0, ...rest })
 */
export async function serveEngine (options: ServeEngineOptions): Promise<ServedEngine> {
  const links = new Map<string, http.ClientRequest>()
  const streams = new Map<string, ServerResponse>()
  const sockets = new Set<Socket>()
  const linkSockets = new WeakSet<Socket>()
  const silenced = new WeakSet<Socket>()
  const getStreamKey = (sequence: { request: string, attempt: number }): string => `${sequence.request}:${sequence.attempt}`

  function getLink (address: string): http.ClientRequest {
    const open = links.get(address)
    if (open !== undefined) return open
    const [host, port] = address.split(':')
    const link = http.request({ host, port: Number(port), method: 'POST', path: '/v1/link' })
    link.on('error', () => links.delete(address))
    link.on('close', () => links.delete(address))
    link.flushHeaders()
    links.set(address, link)
    return link
  }

  function writeLine (key: string, line: unknown, end: boolean): void {
    const stream = streams.get(key)
    if (stream === undefined) return
    if (end) streams.delete(key)
    if (stream.socket !== null && silenced.has(stream.socket)) return
    if (line !== undefined) stream.write(`${JSON.stringify(line)}\n`)
    if (end) stream.end()
  }

  const engine = createEngine({
    ...options,
    runtime: createSystemRuntime(),
    onRow: createRowWriter(options.ledgerFile),
    sendLink: (address, frame) => { getLink(address).write(`${JSON.stringify(frame)}\n`) },
    sendToken: (sequence, frame) => writeLine(getStreamKey(sequence), frame, frame.last === true),
    endStream: sequence => writeLine(getStreamKey(sequence), undefined, true)
  })

  async function openSequence (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const sequence = await readJson(request) as OpenSequence
    const answer = engine.open(sequence)
    if (answer.kind === 'refused') return sendJson(response, answer.status, answer)
    const key = getStreamKey(sequence)
    streams.set(key, response)
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    response.flushHeaders()
    response.once('close', () => {
      streams.delete(key)
      if (!response.writableFinished) engine.holdSequence(sequence.request, sequence.attempt)
    })
  }

  function sendSequenceState (url: URL, response: ServerResponse): void {
    const held = engine.held(url.searchParams.get('request') ?? '')
    if (held === undefined) sendJson(response, 404, { cause: 'no such sequence' })
    else sendJson(response, 200, held)
  }

  function cancelSequence (url: URL, response: ServerResponse): void {
    engine.cancel(url.searchParams.get('request') ?? '', Number(url.searchParams.get('attempt')))
    sendJson(response, 200, {})
  }

  /** Stops all data on the callers' open connections; links between engines are not affected. */
  function silenceCallerSockets (): void {
    for (const socket of sockets) if (!linkSockets.has(socket)) silenced.add(socket)
  }

  function acceptLink (request: IncomingMessage): void {
    linkSockets.add(request.socket)
    request.on('data', createLineSplitter(line => {
      if (!engine.faults.frozen) engine.receive(JSON.parse(line) as LinkFrame)
    }))
    request.on('error', () => {})
  }

  async function setFaults (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const change = await readJson(request) as { silenceOpen?: boolean, die?: boolean }
    if (change.die) process.exit(1)
    if (change.silenceOpen) silenceCallerSockets()
    Object.assign(engine.faults, change)
    sendJson(response, 200, engine.faults)
  }

  function trackSocket (socket: Socket): void {
    if (sockets.has(socket)) return
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  }

  const server = await listen(async (request, response) => {
    trackSocket(request.socket)
    const url = new URL(request.url ?? '/', 'http://engine')
    const route = `${request.method} ${url.pathname}`
    if (route === 'POST /faults') return await setFaults(request, response)
    if (route === 'GET /ledger') return sendJson(response, 200, { rows: engine.ledger(url.searchParams.get('request') ?? undefined) })
    if (engine.faults.frozen || silenced.has(request.socket)) return
    if (route === 'POST /v1/sequences') return await openSequence(request, response)
    if (route === 'GET /v1/sequences') return sendSequenceState(url, response)
    if (route === 'DELETE /v1/sequences') return cancelSequence(url, response)
    if (route === 'POST /v1/link') return acceptLink(request)
    if (route === 'GET /v1/status') return sendJson(response, 200, engine.status())
    if (route === 'PUT /v1/order') {
      const answer = engine.order(await readJson(request) as EngineOrder)
      return sendJson(response, answer.kind === 'accepted' ? 200 : answer.status, answer)
    }
    sendJson(response, 404, { cause: 'no such path' })
  }, options)
  return {
    ...server,
    engine,
    async [Symbol.asyncDispose] () {
      for (const link of links.values()) link.destroy()
      engine[Symbol.dispose]()
      await server[Symbol.asyncDispose]()
    }
  }
}

/** Creates a function that appends each row to a file as one JSON line, synchronously, so that a token is sent only once its row is in the file. */
function createRowWriter (file: string | undefined): (row: LedgerRow) => void {
  if (file === undefined) return () => {}
  const descriptor = openSync(file, 'a')
  return row => { writeSync(descriptor, `${JSON.stringify(row)}\n`) }
}
