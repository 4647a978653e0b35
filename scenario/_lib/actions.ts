/**
 * Statements that make something happen.
 */
import type { StatementHandler } from '../runScenario/index.js'
import type { MemoryEngine } from '../../test/fakes/createMemoryEngines.js'
import { tokenHashOf, type Role } from '../createWorld/index.js'
import { ACCOUNT, framesOf, identityOf, type Session } from './session.js'

/** After how long a leaving target may get no new work. */
const LEAVING_LIMIT_MS = 3_000

/** Text fields of a ticket's settings are not part of the language: numbers only. */
const TIMEOUTS = 'timeouts'

export const ACTIONS: Record<string, StatementHandler> = {
  async Start_entry ({ world }, [host, domain]) { await world.start('entry', String(host), String(domain)) },
  async Start_control ({ world }, [host, domain]) { await world.start('control', String(host), String(domain)) },
  async Restart ({ world }, [role, host]) {
    const before = world.find(role as Role, String(host))
    await world.start(role as Role, String(host), before.daemon.settings.failureDomain)
  },
  async Start_engine ({ world, cuts }, [target, model, fromLayer, toLayer]) {
    const cut = { target: String(target), model: String(model), fromLayer: Number(fromLayer), toLayer: Number(toLayer) }
    cuts.push(cut)
    world.engines.add(cut)
    world.hosts.set(cut.target, { name: cut.target, address: cut.target, failureDomain: 'domain-e', state: 'live' })
  },
  async Start_service ({ world, services }, [name]) {
    services.push(String(name))
    world.hosts.set(String(name), { name: String(name), address: String(name), failureDomain: 'domain-e', state: 'live' })
  },
  async Submit (session, args) { submit(session, args) },
  async Race (session, args) {
    submit(session, args.slice(0, args.length / 2))
    submit(session, args.slice(args.length / 2))
  },
  async Send (session, [name, model, host, tokens]) { send(session, String(name), String(model), String(host), Number(tokens)) },
  async Continue (session, [name, host]) { continueAt(session, String(name), String(host)) },
  async Book (session, [name, key, content, host]) {
    const body = JSON.stringify({ item: content })
    const answer = session.world.call(session.world.find('entry', String(host)), 'caller', {
      method: 'POST',
      url: '/services/orders/orders',
      headers: { authorization: `Bearer ${ACCOUNT}.${ACCOUNT}-secret`, 'content-type': 'application/json', 'idempotency-key': String(key) },
      body
    })
    session.requests.set(String(name), { name: String(name), answer, body, earlier: [] })
  },
  async Kill_engine (session, [engine]) { for (const found of enginesOf(session, engine!)) found.kill() },
  async Kill_daemon (session, [kind, name]) {
    for (const daemon of daemonsOf(session, kind!, name!)) {
      daemon.engines.breakAll()
      daemon.gate.kill()
      for (const answer of daemon.answers) answer.lose()
    }
  },
  async Freeze_engine (session, [engine]) { for (const found of enginesOf(session, engine!)) found.faults.frozen = true },
  async Freeze_daemon (session, [kind, name]) { for (const daemon of daemonsOf(session, kind!, name!)) daemon.gate.freeze() },
  async Resume_engine (session, [engine]) { for (const found of enginesOf(session, engine!)) found.faults.frozen = false },
  async Resume_daemon (session, [kind, name]) { for (const daemon of daemonsOf(session, kind!, name!)) daemon.gate.resume() },
  async Cut_link (session, [engine]) { for (const found of enginesOf(session, engine!)) found.faults.linkCut = true },
  async Cut_hosts ({ world }, [a, b]) { world.network.cut(String(a), String(b)) },
  async Cut_store ({ world }, [host]) { world.cutFromStore.add(String(host)) },
  async Heal_store ({ world }, [host]) { world.cutFromStore.delete(String(host)) },
  async Heal_hosts ({ world }, [a, b]) { world.network.heal(String(a), String(b)) },
  async Degrade (session, [engine, delayMs]) { for (const found of enginesOf(session, engine!)) found.faults.linkDelayMs = Number(delayMs) },
  async Silence_engine (session, [engine]) { for (const found of enginesOf(session, engine!)) found.silenceOpenStreams() },
  async Silence_watches ({ world }) { world.store.faults.silentWatches = true },
  async Leave ({ requests }, [name]) { requests.get(String(name))!.answer.close() },
  async Leaves (session, [engine, source]) {
    for (const { status } of enginesOf(session, engine!)) leave(session, status().target, String(source))
  },
  async Store_down ({ world }) { world.store.faults.down = true },
  async Store_up ({ world }) { world.store.faults.down = false },
  async Store_lose ({ world }, [count]) { world.store.faults.loseAnswers = Number(count) },
  async Store_hold ({ world }, [count]) { world.store.faults.holdWrites = Number(count) },
  async Store_apply ({ world }) { world.store.applyHeld() },
  async Store_copy (session) { session.copy = { objects: session.world.store.snapshot(), revision: session.world.store.revision() } },
  async Store_restore (session) { session.world.store.restore(session.copy!.objects, session.copy!.revision) },
  async Service_lose ({ world }, [name, count]) { world.services.loseAnswers(String(name), Number(count)) },
  async Service_refuse ({ world }, [name]) { world.services.refuseConnections(String(name)) },
  async Drain (session, [host]) {
    const daemon = session.world.find('entry', String(host))
    const state = { done: false, cutOff: 0 }
    session.drains.set(String(host), state)
    daemon.entry!.drain({ signal: new AbortController().signal }).then(() => {
      state.done = true
      state.cutOff = daemon.answers.filter(answer => answer.state() === 'open').length
    }, () => {})
  },
  async Wait ({ world }, [ms]) { await world.runtime.advance(Number(ms)) },
  async Await_outcome ({ world, requests }, [name]) {
    await world.until(`answer to ${name}`, () => requests.get(String(name))!.answer.state() !== 'open')
  },
  async Await_tokens ({ world, requests }, [count, name]) {
    await world.until(`${count} tokens of ${name}`, () => framesOf(requests.get(String(name))!).length >= Number(count))
  },
  async Await_revision (session, [revision, where]) {
    await session.world.until(`revision ${revision} at ${where}`, () => hasRevision(session, Number(revision), String(where)))
  }
}

/** Whether every running daemon of a place has a revision, or a higher one, in force. */
export function hasRevision (session: Session, revision: number, where: string): boolean {
  const daemons = session.world.daemons.filter(daemon => daemon.gate.state() === 'running' && (where === 'every host' || daemon.host === where))
  return daemons.every(daemon => daemon.daemon.holder.current().head.revision >= revision)
}

function daemonsOf (session: Session, kind: string | number, name: string | number): Session['world']['daemons'] {
  return session.world.daemons.filter(daemon => daemon.host === name && (kind === 'host' || kind === daemon.role) && daemon.gate.state() !== 'killed')
}

/** Engines by `engine NAME`, `stage N of REQUEST` (counted from 1, of its latest chain) or `every engine`. */
function enginesOf ({ world, cuts, requests }: Session, source: string | number): MemoryEngine[] {
  if (source === 'every engine') return cuts.map(cut => world.engines.get(cut.target))
  const named = /^engine (.+)$/.exec(String(source))?.[1]
  if (named !== undefined) return [world.engines.get(named)]
  const [, stage, name] = /^stage (\d+) of (.+)$/.exec(String(source))!
  const identity = identityOf(requests.get(name!)!)
  const opened = world.daemons.flatMap(({ daemon }) => daemon.log.recent()).findLast(event => event.name === 'pipelineOpened' && event.request === identity)
  const chain = opened?.chain as string[]
  return [world.engines.get(chain[Number(stage) - 1]!.split('[')[0]!)]
}

/** Arguments: number, then `setting` name and value or nothing, then operator and host. */
function submit (session: Session, args: Array<string | number>): void {
  const [number, ...rest] = args
  const [operator, host] = rest.slice(-2).map(String) as [string, string]
  const scopes = rest.length === 4 ? { [TIMEOUTS]: { [String(rest[0])]: rest[1] } } : nameEverything(session)
  const daemon = session.world.daemons.findLast(candidate => candidate.host === host && candidate.gate.state() === 'running')
  if (daemon === undefined) throw new Error(`nothing runs on ${host}`)
  const answer = session.world.call(daemon, 'operator', {
    method: 'POST',
    url: '/v1/tickets',
    headers: { authorization: `Bearer ${operator}.${operator}-secret` },
    body: JSON.stringify({ number, scopes })
  })
  session.tickets.set(`${number} ${operator}`, answer)
}

/** Scopes that name every engine and service started so far. */
function nameEverything ({ cuts, services }: Session): Record<string, unknown> {
  const engines = cuts.map(({ target }) => ({ name: target, host: target, kind: 'engine' }))
  const plain = services.map(name => ({ name, host: name, kind: 'service' }))
  const models = [...new Set(cuts.map(cut => cut.model))].map(model => {
    const placement = cuts.filter(cut => cut.model === model).map(({ target, fromLayer, toLayer }) => ({ target, fromLayer, toLayer }))
    const layers = Math.max(...placement.map(part => part.toLayer))
    return [`models/${model}`, { layers, version: '1', placement, deadlines: { firstTokenMs: 500, betweenTokensMs: 300, answerMs: 20_000 } }] as const
  })
  const orders = { targets: services, calls: [{ method: 'POST', pathPrefix: '/orders', repeatable: false }], timeoutMs: 2_000, statusPath: '/orders/{key}' }
  return {
    'targets/all': { targets: [...engines, ...plain] },
    'accounts/all': { accounts: [{ name: ACCOUNT, tokenHash: tokenHashOf(ACCOUNT) }] },
    ...Object.fromEntries(models),
    ...(services.length > 0 ? { 'services/orders': orders } : {})
  }
}

function send (session: Session, name: string, model: string, host: string, tokens: number): void {
  const prompt = `prompt of ${name}`
  const body = JSON.stringify({ model, prompt, max_tokens: tokens, stream: true })
  const answer = callCompletions(session, host, body)
  session.requests.set(name, { name, answer, body, tokens, prompt, model, earlier: [] })
}

function continueAt (session: Session, name: string, host: string): void {
  const before = session.requests.get(name)!
  const frames = framesOf(before)
  const last = frames.at(-1)
  const lastEventId = last === undefined ? undefined : `${identityOf(before)}:${last.attempt}:${last.position}`
  const answer = callCompletions(session, host, before.body, lastEventId)
  session.requests.set(name, { ...before, answer, earlier: frames })
}

function callCompletions (session: Session, host: string, body: string, lastEventId?: string): ReturnType<Session['world']['call']> {
  return session.world.call(session.world.find('entry', host), 'caller', {
    method: 'POST',
    url: '/v1/completions',
    headers: {
      authorization: `Bearer ${ACCOUNT}.${ACCOUNT}-secret`,
      'content-type': 'application/json',
      ...(lastEventId === undefined ? {} : { 'last-event-id': lastEventId })
    },
    body
  })
}

function leave (session: Session, target: string, source: string): void {
  const { world, opensWhenLeft } = session
  session.leaving.add(target)
  const engine = world.engines.get(target)
  if (source === 'own word') engine.faults.leaving = true
  else world.hosts.set(target, { ...world.hosts.get(target)!, state: 'leaving' })
  world.runtime.setTimer(LEAVING_LIMIT_MS, () => opensWhenLeft.set(target, engine.opens.length))
}
