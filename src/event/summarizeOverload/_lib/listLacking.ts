/**
 * Lists what a log lacks for a summary of its calls.
 */
import type { LoggedEvent } from '../../types.js'
import { FINAL_EVENTS, type EndedCall } from './readCall.js'

/** Numbers of the events about calls to a gateway. */
const FIRST_CALL_EVENT = 3_200
const LAST_CALL_EVENT = 3_299

/** One sentence for each thing that the log lacks. */
export function listLacking (events: readonly LoggedEvent[], calls: readonly EndedCall[], domains: ReadonlyMap<string, string>): string[] {
  const share = (missing: readonly EndedCall[]): string => `${missing.length} of ${calls.length} calls`
  const withoutLimits = calls.filter(({ outcome }) => outcome === 'answered')
  const withoutAccount = calls.filter(({ account }) => account === undefined)
  const withoutSize = calls.filter(({ promptTokens }) => promptTokens === undefined)
  const hosts = [...new Set(calls.map(({ host }) => host))].filter(host => !domains.has(host))
  return [
    ...(calls.length === 0 ? ['no line ends a call'] : []),
    ...(withoutLimits.length === 0 ? [] : [`objective or longest pause: ${share(withoutLimits)}, routes ${[...new Set(withoutLimits.map(({ route }) => route))].join(', ')}`]),
    ...(withoutAccount.length === 0 ? [] : [`client account: ${share(withoutAccount)}`]),
    ...(withoutSize.length === 0 ? [] : [`size of prompt: ${share(withoutSize)}`]),
    ...(hosts.length === 0 ? [] : [`failure domain, which the line processStarted tells: ${hosts.length} hosts`]),
    ...describeUnended(events),
    ...describeDropped(events)
  ]
}

/** Calls of which there are lines but none that ends them, as after the death of their host. */
function describeUnended (events: readonly LoggedEvent[]): string[] {
  const ended = new Set(events.filter(({ name }) => FINAL_EVENTS.has(name)).map(({ request }) => request))
  const seen = new Set(events.flatMap(({ request, number }) => request !== undefined && number >= FIRST_CALL_EVENT && number <= LAST_CALL_EVENT ? [request] : []))
  const unended = [...seen].filter(request => !ended.has(request)).length
  return unended === 0 ? [] : [`the end of ${unended} calls, whose hosts stopped or whose lines are missing`]
}

/** Final lines that hosts dropped above the rate limit of their event. */
function describeDropped (events: readonly LoggedEvent[]): string[] {
  const totals = new Map<string, number>()
  for (const { name, dropped } of events) {
    if (name !== 'eventsDropped' || typeof dropped !== 'object' || dropped === null) continue
    for (const [event, count] of Object.entries(dropped)) if (FINAL_EVENTS.has(event)) totals.set(event, (totals.get(event) ?? 0) + Number(count))
  }
  return [...totals].map(([name, count]) => `${count} lines ${name}, dropped above their rate limit`)
}
