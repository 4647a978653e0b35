/**
 * A session as text that two runs of one seed share.
 */
import { describeFields } from '../../src/event/describeFields/index.js'
import { mergeTimeline } from '../../src/event/mergeTimeline/index.js'
import type { LoggedEvent } from '../../src/event/types.js'
import type { HandlerAnswer } from '../invokeHandler/index.js'
import type { Session } from './session.js'

/** Random identities, which are replaced by their order of appearance. */
const IDENTITY = /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g

/** Statements, answers and the time line. */
export function renderSession (session: Session): string {
  const { world, notes, requests, tickets } = session
  const events = mergeTimeline(world.daemons.flatMap(({ daemon }) => [...daemon.log.recent()]))
  const startMs = events[0]?.wallMs ?? 0
  const lines = [
    ...notes,
    '',
    ...[...tickets].flatMap(([name, answer]) => renderAnswer(`ticket ${name}`, answer)),
    ...[...requests.values()].flatMap(request => renderAnswer(request.name, request.answer)),
    '',
    ...events.filter(event => event.level !== 'debug').map(event => renderEvent(event, startMs))
  ]
  return normalise(lines.join('\n')) + '\n'
}

function renderAnswer (name: string, answer: HandlerAnswer): string[] {
  const body = answer.body().trim().split('\n').filter(line => line !== '').map(line => `  ${line}`)
  return [`< ${name}: ${answer.status()}, ${answer.state()}`, ...body]
}

function renderEvent (event: LoggedEvent, startMs: number): string {
  return `${Math.round(event.wallMs - startMs)} ms ${event.host}/${event.process} ${event.number} ${event.name} ${describeFields(event)}`.trimEnd()
}

function normalise (text: string): string {
  const seen = new Map<string, string>()
  return text.replace(IDENTITY, identity => {
    const known = seen.get(identity) ?? `id-${seen.size + 1}`
    seen.set(identity, known)
    return known
  })
}
