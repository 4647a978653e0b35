/**
 * The operator port: health, metrics, tickets, what is in force, members, events, explanations.
 */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { authenticate } from '../../account/authenticate/index.js'
import { readBody } from '../../http/readBody/index.js'
import { parseRequestTarget } from '../../http/parseRequestTarget/index.js'
import { sendJson, sendRefusal } from '../../http/sendJson/index.js'
import { findRefusal } from '../../refusal/findRefusal/index.js'
import { parseJsonc } from '../../settings/parseJsonc/index.js'
import { listTickets, showTicket } from '../../ticket/showTicket/index.js'
import { submitTicket } from '../../ticket/submitTicket/index.js'
import { ticketSchema, type TicketOutcome } from '../../ticket/types.js'
import { createRefusal } from '../../verdict/createRefusal/index.js'
import type { Refusal } from '../../verdict/types.js'
import { askMember } from '../_lib/askMember.js'
import type { Daemon } from '../types.js'

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** When an operator whose ticket's outcome is unknown should ask again. */
const UNCERTAIN_RETRY_MS = 1_000

/**
 * @name createOperatorHandler
 * @summary Handler of the operator port.
 * @param daemon - The daemon that it speaks for.
 * @returns A handler for `listen`.
 *
 * @example
 * await using server = await listen(createOperatorHandler(daemon), { address, port })
 */
export function createOperatorHandler (daemon: Daemon): Handler {
  const operators = new Map(daemon.settings.operators.map(operator => [operator.name, operator]))

  async function serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = parseRequestTarget(request.url)
    if (url === undefined) return refuse(response, daemon, createRefusal('malformedRequest'))
    if (await answerOpen(url, response, daemon)) return
    const operator = authenticate(request.headers.authorization, { find: name => operators.get(name) })
    if (operator === undefined) return refuse(response, daemon, createRefusal('unauthorized'))
    await answerOperator(url, { request, response, operator: operator.name }, daemon)
  }

  return async (request, response) => {
    response.on('error', () => { if (!response.writableEnded) response.destroy() })
    const task = serve(request, response).catch((error: Error) => {
      daemon.log.emit('unexpectedError', { cause: error.message })
      refuse(response, daemon, createRefusal('internalError', { verdict: { kind: 'mayHaveRun' } }))
    })
    daemon.operatorCalls.track({ request: randomUUID(), response, mayHaveRun: request.method !== 'GET' }, task)
    await task
  }
}

/** Paths that need no token. */
async function answerOpen (url: URL, response: ServerResponse, daemon: Daemon): Promise<boolean> {
  if (url.pathname === '/health/live') {
    sendJson(response, 200, { live: true })
    return true
  }
  if (url.pathname === '/health/ready') {
    const ready = daemon.holder.isReady() && !daemon.isDraining()
    sendJson(response, ready ? 200 : 503, { ready, revision: daemon.holder.current().head.revision, draining: daemon.isDraining() })
    return true
  }
  if (url.pathname !== '/metrics') return false
  daemon.metrics.revisionInForce.set(daemon.holder.current().head.revision)
  response.writeHead(200, { 'content-type': daemon.metrics.registry.contentType })
  response.end(await daemon.metrics.registry.metrics())
  return true
}

interface Call {
  request: IncomingMessage
  response: ServerResponse
  operator: string
}

async function answerOperator (url: URL, call: Call, daemon: Daemon): Promise<void> {
  const { request, response } = call
  const [, version, kind, ...rest] = decodeURIComponent(url.pathname).split('/')
  const argument = rest.join('/')
  const route = `${request.method} ${version}/${kind}`
  if (route === 'POST v1/tickets') return await acceptTicket(call, daemon)
  if (route === 'GET v1/tickets' && argument === '') return sendJson(response, 200, await listTickets({ store: daemon.store, inForce: daemon.holder.current().head }))
  if (route === 'GET v1/tickets') return await answerTicket(Number(argument), call, daemon)
  if (route === 'GET v1/in-force') return answerInForce(argument, response, daemon)
  if (route === 'GET v1/members') return sendJson(response, 200, { members: daemon.table.all() })
  if (route === 'GET v1/events') return answerEvents(url, response, daemon)
  if (route === 'GET v1/explain') return await answerExplain(argument, url, call, daemon)
  refuse(response, daemon, createRefusal('unknownPath', { facts: { path: url.pathname } }))
}

async function acceptTicket (call: Call, daemon: Daemon): Promise<void> {
  const { settings, runtime, store, log } = daemon
  const { bodySizeBytes, bodyDeadlineMs } = settings.limits
  const read = await readBody(call.request, { sizeBytes: bodySizeBytes, deadlineMs: bodyDeadlineMs, runtime })
  if (read.kind !== 'body') return refuse(call.response, daemon, createRefusal(read.kind === 'tooLarge' ? 'bodyTooLarge' : 'senderTooSlow'))
  const parsed = parseJsonc(read.body.toString('utf8'), ticketSchema, { file: 'ticket' })
  if (parsed.kind === 'invalid') return refuse(call.response, daemon, createRefusal('ticketInvalid', { facts: { faults: parsed.faults } }))
  const outcome = await submitTicket(parsed.value, {
    store,
    runtime,
    log,
    operator: call.operator,
    configurationInForce: daemon.holder.current,
    onAccepted: configuration => { daemon.holder.applyIfNewer(configuration, 'store') },
    highestRevision: () => Math.max(...daemon.table.live().map(member => member.revisionInForce)),
    hosts: async () => {
      const listed = await daemon.hostList.read()
      return listed.kind === 'listed' ? listed.hosts : undefined
    }
  })
  sendOutcome(outcome, call.response, daemon)
}

function sendOutcome (outcome: TicketOutcome, response: ServerResponse, daemon: Daemon): void {
  if (outcome.kind === 'accepted') return sendJson(response, 200, outcome)
  const refusal = outcome.kind === 'refused'
    ? createRefusal(outcome.reason, { facts: { ticket: outcome.number, ...outcome.facts } })
    : createRefusal('ticketInDoubt', { verdict: { kind: 'mayHaveRun' }, facts: { ticket: outcome.number, cause: outcome.cause }, retryAfterMs: UNCERTAIN_RETRY_MS })
  refuse(response, daemon, refusal, { ticket: outcome.number })
}

async function answerTicket (number: number, call: Call, daemon: Daemon): Promise<void> {
  const shown = await showTicket(number, { store: daemon.store, members: daemon.table.all(), inForce: daemon.holder.current().head })
  if (shown.kind === 'shown') return sendJson(call.response, 200, shown.ticket)
  refuse(call.response, daemon, createRefusal(shown.kind === 'unknown' ? 'unknownTicket' : 'storeUnavailable', { facts: { ticket: number } }))
}

function answerInForce (scope: string, response: ServerResponse, daemon: Daemon): void {
  const { head, values, timeouts } = daemon.holder.current()
  const storeAgeMs = daemon.holder.storeAgeMs()
  const shown = scope === '' ? Object.fromEntries(values) : { [scope]: values.get(scope) ?? null }
  sendJson(response, 200, { host: daemon.settings.host, revision: head.revision, store: storeAgeMs < timeouts.staleAfterMs ? 'reached' : 'unavailable', storeAgeMs, tickets: head.scopes, scopes: shown })
}

function answerEvents (url: URL, response: ServerResponse, daemon: Daemon): void {
  const filters = [...url.searchParams]
  const events = daemon.log.recent().filter(event => filters.every(([field, value]) => String(event[field]) === value))
  sendJson(response, 200, { events })
}

/** Refusals by identity from any host; requests by their recent events on this one. */
async function answerExplain (id: string, url: URL, call: Call, daemon: Daemon): Promise<void> {
  const { response, request } = call
  const isLocal = url.searchParams.has('local')
  const found = await findRefusal(id, {
    refusals: daemon.refusals,
    store: daemon.store,
    askHost: async host => isLocal ? undefined : await askMember(host, id, { daemon, authorization: request.headers.authorization ?? '' })
  })
  if (found.kind === 'found') return sendJson(response, 200, found.refusal)
  const events = daemon.log.recent().filter(event => event.request === id)
  if (events.length > 0) return sendJson(response, 200, { request: id, events })
  if (found.kind === 'unavailable') return refuse(response, daemon, createRefusal('storeUnavailable', { facts: { id }, retryAfterMs: UNCERTAIN_RETRY_MS }))
  refuse(response, daemon, createRefusal('unknownRefusal', { facts: { id, ...(found.kind === 'dropped' ? { dropped: found.dropped } : {}) } }))
}

function refuse (response: ServerResponse, daemon: Daemon, refusal: Refusal, context: Record<string, unknown> = {}): void {
  sendRefusal(response, daemon.refusals.add(refusal, context))
}
