/**
 * Renders a run as text that is identical for two runs with the same seed.
 */
import { describeFields } from '../../src/event/describeFields/index.js'
import { mergeTimeline } from '../../src/event/mergeTimeline/index.js'
import type { LoggedEvent } from '../../src/event/types.js'
import type { HandlerAnswer } from '../invokeHandler/index.js'
import type { ScenarioRun } from './scenarioRun.js'

/** Random ids; each is replaced by a number, in order of appearance. */
const RANDOM_ID = /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g

/** Lists the statements, then the answers, then the events of all daemons in order of time. */
export function renderTranscript (run: ScenarioRun): string {
  const { simulation, executedStatements, requests, tickets } = run
  const events = mergeTimeline(simulation.daemons.flatMap(({ daemon }) => [...daemon.log.recent()]))
  const startMs = events[0]?.wallMs ?? 0
  const lines = [
    ...executedStatements,
    '',
    ...[...tickets].flatMap(([name, answer]) => renderAnswer(`ticket ${name}`, answer)),
    ...[...requests.values()].flatMap(request => renderAnswer(request.name, request.answer)),
    '',
    ...events.filter(event => event.level !== 'debug').map(event => renderEvent(event, startMs))
  ]
  return numberIds(lines.join('\n')) + '\n'
}

function renderAnswer (name: string, answer: HandlerAnswer): string[] {
  const body = answer.body().trim().split('\n').filter(line => line !== '').map(line => `  ${line}`)
  return [`< ${name}: ${answer.status()}, ${answer.state()}`, ...body]
}

function renderEvent (event: LoggedEvent, startMs: number): string {
  return `${Math.round(event.wallMs - startMs)} ms ${event.host}/${event.process} ${event.number} ${event.name} ${describeFields(event)}`.trimEnd()
}

function numberIds (text: string): string {
  const seen = new Map<string, string>()
  return text.replace(RANDOM_ID, id => {
    const known = seen.get(id) ?? `id-${seen.size + 1}`
    seen.set(id, known)
    return known
  })
}
