/**
 * Handlers of the statements that act on the simulation.
 */
import type { StatementHandler } from '../runScenario/index.js'
import type { MemoryEngine } from '../../test/fakes/createMemoryEngines.js'
import { hashTokenOf, type Role } from '../createSimulation/index.js'
import { ACCOUNT, receivedFrames, requestIdOf, type ScenarioRun } from './scenarioRun.js'

/** Time after which a leaving target may receive no new sequences. */
const LEAVING_DEADLINE_MS = 3_000

/** Scope that `setting NAME = NUMBER` changes; the language has no settings with text values. */
const TIMEOUTS_SCOPE = 'timeouts'

export const ACTIONS: Record<string, StatementHandler> = {
  async Start_entry ({ simulation }, [host, domain]) { await simulation.start('entry', String(host), String(domain)) },
  async Start_control ({ simulation }, [host, domain]) { await simulation.start('control', String(host), String(domain)) },
  async Restart ({ simulation }, [role, host]) {
    const stopped = simulation.findDaemon(role as Role, String(host))
    await simulation.start(role as Role, String(host), stopped.daemon.settings.failureDomain)
  },
  async Start_engine ({ simulation, placements }, [target, model, fromLayer, toLayer]) {
    const placement = { target: String(target), model: String(model), fromLayer: Number(fromLayer), toLayer: Number(toLayer) }
    placements.push(placement)
    simulation.engines.add(placement)
    simulation.hosts.set(placement.target, { name: placement.target, address: placement.target, failureDomain: 'domain-e', state: 'live' })
  },
  async Start_service ({ simulation, services }, [name]) {
    services.push(String(name))
    simulation.hosts.set(String(name), { name: String(name), address: String(name), failureDomain: 'domain-e', state: 'live' })
  },
  async Submit (run, args) { submitTicket(run, args) },
  async Race (run, args) {
    submitTicket(run, args.slice(0, args.length / 2))
    submitTicket(run, args.slice(args.length / 2))
  },
  async Send (run, [name, model, host, tokens]) { sendCompletion(run, String(name), String(model), String(host), Number(tokens)) },
  async Continue (run, [name, host]) { continueCompletion(run, String(name), String(host)) },
  async Book (run, [name, key, content, host]) {
    const body = JSON.stringify({ item: content })
    const answer = run.simulation.call(run.simulation.findDaemon('entry', String(host)), 'caller', {
      method: 'POST',
      url: '/services/orders/orders',
      headers: { authorization: `Bearer ${ACCOUNT}.${ACCOUNT}-secret`, 'content-type': 'application/json', 'idempotency-key': String(key) },
      body
    })
    run.requests.set(String(name), { name: String(name), answer, body, earlierFrames: [] })
  },
  async Kill_engine (run, [engine]) { for (const found of enginesOf(run, engine!)) found.kill() },
  async Kill_daemon (run, [kind, name]) {
    for (const daemon of daemonsOf(run, kind!, name!)) {
      daemon.engines.detachAll()
      daemon.process.kill()
      for (const answer of daemon.answers) answer.breakSilently()
    }
  },
  async Freeze_engine (run, [engine]) { for (const found of enginesOf(run, engine!)) found.faults.frozen = true },
  async Freeze_daemon (run, [kind, name]) { for (const daemon of daemonsOf(run, kind!, name!)) daemon.process.freeze() },
  async Resume_engine (run, [engine]) { for (const found of enginesOf(run, engine!)) found.faults.frozen = false },
  async Resume_daemon (run, [kind, name]) { for (const daemon of daemonsOf(run, kind!, name!)) daemon.process.resume() },
  async Cut_link (run, [engine]) { for (const found of enginesOf(run, engine!)) found.faults.linkCut = true },
  async Cut_hosts ({ simulation }, [a, b]) { simulation.network.cut(String(a), String(b)) },
  async Cut_store ({ simulation }, [host]) { simulation.cutFromStore.add(String(host)) },
  async Heal_store ({ simulation }, [host]) { simulation.cutFromStore.delete(String(host)) },
  async Heal_hosts ({ simulation }, [a, b]) { simulation.network.heal(String(a), String(b)) },
  async Degrade (run, [engine, delayMs]) { for (const found of enginesOf(run, engine!)) found.faults.linkDelayMs = Number(delayMs) },
  async Silence_engine (run, [engine]) { for (const found of enginesOf(run, engine!)) found.silence() },
  async Silence_watches ({ simulation }) { simulation.store.faults.silentWatches = true },
  async Leave ({ requests }, [name]) { requests.get(String(name))!.answer.close() },
  async Leaves (run, [engine, source]) {
    for (const { status } of enginesOf(run, engine!)) startLeaving(run, status().target, String(source))
  },
  async Store_down ({ simulation }) { simulation.store.faults.down = true },
  async Store_up ({ simulation }) { simulation.store.faults.down = false },
  async Store_lose ({ simulation }, [count]) { simulation.store.faults.loseAnswers = Number(count) },
  async Store_hold ({ simulation }, [count]) { simulation.store.faults.holdWrites = Number(count) },
  async Store_apply ({ simulation }) { simulation.store.applyHeld() },
  async Store_copy (run) { run.storeSnapshot = { objects: run.simulation.store.snapshot(), revision: run.simulation.store.revision() } },
  async Store_restore (run) { run.simulation.store.restore(run.storeSnapshot!.objects, run.storeSnapshot!.revision) },
  async Service_lose ({ simulation }, [name, count]) { simulation.services.loseAnswers(String(name), Number(count)) },
  async Service_refuse ({ simulation }, [name]) { simulation.services.refuseConnections(String(name)) },
  async Drain (run, [host]) {
    const daemon = run.simulation.findDaemon('entry', String(host))
    const state = { done: false, openAnswerCount: 0 }
    run.drains.set(String(host), state)
    daemon.entry!.drain({ signal: new AbortController().signal }).then(() => {
      state.done = true
      state.openAnswerCount = daemon.answers.filter(answer => answer.state() === 'open').length
    }, () => {})
  },
  async Wait ({ simulation }, [ms]) { await simulation.runtime.advance(Number(ms)) },
  async Await_outcome ({ simulation, requests }, [name]) {
    await simulation.waitUntil(`answer to ${name}`, () => requests.get(String(name))!.answer.state() !== 'open')
  },
  async Await_tokens ({ simulation, requests }, [count, name]) {
    await simulation.waitUntil(`${count} tokens of ${name}`, () => receivedFrames(requests.get(String(name))!).length >= Number(count))
  },
  async Await_revision (run, [revision, where]) {
    await run.simulation.waitUntil(`revision ${revision} at ${where}`, () => hasRevision(run, Number(revision), String(where)))
  }
}

/** Whether every running daemon on `where`, a host or `every host`, has at least a revision in force. */
export function hasRevision (run: ScenarioRun, revision: number, where: string): boolean {
  const daemons = run.simulation.daemons.filter(daemon => daemon.process.state() === 'running' && (where === 'every host' || daemon.host === where))
  return daemons.every(daemon => daemon.daemon.holder.current().head.revision >= revision)
}

function daemonsOf (run: ScenarioRun, kind: string | number, name: string | number): ScenarioRun['simulation']['daemons'] {
  return run.simulation.daemons.filter(daemon => daemon.host === name && (kind === 'host' || kind === daemon.role) && daemon.process.state() !== 'killed')
}

/** Finds engines by `engine NAME`, by `stage N of REQUEST` (from 1, of its latest pipeline) or by `every engine`. */
function enginesOf ({ simulation, placements, requests }: ScenarioRun, source: string | number): MemoryEngine[] {
  if (source === 'every engine') return placements.map(part => simulation.engines.get(part.target))
  const named = /^engine (.+)$/.exec(String(source))?.[1]
  if (named !== undefined) return [simulation.engines.get(named)]
  const [, stage, name] = /^stage (\d+) of (.+)$/.exec(String(source))!
  const requestId = requestIdOf(requests.get(name!)!)
  const opened = simulation.daemons.flatMap(({ daemon }) => daemon.log.recent()).findLast(event => event.name === 'pipelineOpened' && event.request === requestId)
  const chain = opened?.chain as string[]
  return [simulation.engines.get(chain[Number(stage) - 1]!.split('[')[0]!)]
}

/** Submits a ticket. Arguments: number, then name and value of a setting or neither, then operator and host. */
function submitTicket (run: ScenarioRun, args: Array<string | number>): void {
  const [number, ...rest] = args
  const [operator, host] = rest.slice(-2).map(String) as [string, string]
  const scopes = rest.length === 4 ? { [TIMEOUTS_SCOPE]: { [String(rest[0])]: rest[1] } } : createFullScopes(run)
  const daemon = run.simulation.daemons.findLast(candidate => candidate.host === host && candidate.process.state() === 'running')
  if (daemon === undefined) throw new Error(`no daemon is running on ${host}`)
  const answer = run.simulation.call(daemon, 'operator', {
    method: 'POST',
    url: '/v1/tickets',
    headers: { authorization: `Bearer ${operator}.${operator}-secret` },
    body: JSON.stringify({ number, scopes })
  })
  run.tickets.set(`${number} ${operator}`, answer)
}

/** Creates scopes that list every engine and service started so far. */
function createFullScopes ({ placements, services }: ScenarioRun): Record<string, unknown> {
  const engines = placements.map(({ target }) => ({ name: target, host: target, kind: 'engine' }))
  const serviceTargets = services.map(name => ({ name, host: name, kind: 'service' }))
  const models = [...new Set(placements.map(part => part.model))].map(model => {
    const placement = placements.filter(part => part.model === model).map(({ target, fromLayer, toLayer }) => ({ target, fromLayer, toLayer }))
    const layers = Math.max(...placement.map(part => part.toLayer))
    return [`models/${model}`, { layers, version: '1', placement, deadlines: { firstTokenMs: 500, betweenTokensMs: 300, answerMs: 20_000 } }] as const
  })
  const orders = { targets: services, calls: [{ method: 'POST', pathPrefix: '/orders', repeatable: false }], timeoutMs: 2_000, statusPath: '/orders/{key}' }
  return {
    'targets/all': { targets: [...engines, ...serviceTargets] },
    'accounts/all': { accounts: [{ name: ACCOUNT, tokenHash: hashTokenOf(ACCOUNT) }] },
    ...Object.fromEntries(models),
    ...(services.length > 0 ? { 'services/orders': orders } : {})
  }
}

function sendCompletion (run: ScenarioRun, name: string, model: string, host: string, tokenCount: number): void {
  const prompt = `prompt of ${name}`
  const body = JSON.stringify({ model, prompt, max_tokens: tokenCount, stream: true })
  const answer = callCompletions(run, host, body)
  run.requests.set(name, { name, answer, body, tokens: tokenCount, prompt, model, earlierFrames: [] })
}

function continueCompletion (run: ScenarioRun, name: string, host: string): void {
  const before = run.requests.get(name)!
  const frames = receivedFrames(before)
  const last = frames.at(-1)
  const lastEventId = last === undefined ? undefined : `${requestIdOf(before)}:${last.attempt}:${last.position}`
  const answer = callCompletions(run, host, before.body, lastEventId)
  run.requests.set(name, { ...before, answer, earlierFrames: frames })
}

function callCompletions (run: ScenarioRun, host: string, body: string, lastEventId?: string): ReturnType<ScenarioRun['simulation']['call']> {
  return run.simulation.call(run.simulation.findDaemon('entry', host), 'caller', {
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

function startLeaving (run: ScenarioRun, target: string, source: string): void {
  const { simulation, openCountsAtLeavingDeadline } = run
  run.leaving.add(target)
  const engine = simulation.engines.get(target)
  if (source === 'own word') engine.faults.leaving = true
  else simulation.hosts.set(target, { ...simulation.hosts.get(target)!, state: 'leaving' })
  simulation.runtime.setTimer(LEAVING_DEADLINE_MS, () => openCountsAtLeavingDeadline.set(target, engine.opens.length))
}
