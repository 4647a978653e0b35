/**
 * What a router with perfect knowledge could serve in time of a day of a site file: plain arithmetic
 * over the file's own figures.
 */
import { readFile } from 'node:fs/promises'
import { readSite } from '../../platform/readSite/index.js'
import { BenchInputError } from '../_lib/inputError.js'
import { computeBound, type DayBound } from '../placementBound/computeBound.js'

export async function run ({ args }: { args: readonly string[] }): Promise<Record<string, unknown>> {
  const [file, dayName] = args
  if (file === undefined || dayName === undefined) throw new BenchInputError('usage: npm run --silent bench -- placement-bound SITE DAY [--json]')
  let site
  try {
    site = readSite(await readFile(file, 'utf8'))
  } catch (error) {
    throw new BenchInputError(`${file}: ${(error as Error).message}`)
  }
  const day = site.days.find(({ name }) => name === dayName)
  if (day === undefined) throw new BenchInputError(`${file}: no day ${dayName}; there are ${site.days.map(({ name }) => name).join(', ')}`)
  return { ...computeBound(site, day) }
}

/** Text for operators. */
export function render (figures: Record<string, unknown>): string {
  const { site, day, share, services, leftOut } = figures as unknown as DayBound
  return [
    `${site} ${day}: ${percent(share)} of the requests can be served in time`,
    ...services.flatMap(({ service, share: ownShare, lowestRoom, lowestRoomSecond, byFailureDomain, kinds, seconds }) => [
      '',
      `${service}: ${percent(ownShare)}; least room in second ${lowestRoomSecond}: ${lowestRoom.toFixed(2)} for each request`,
      ...byFailureDomain.map(({ failureDomain, share: domainShare, lowestRoom: room }) => `  ${failureDomain} by itself: ${percent(domainShare)}; least room ${room.toFixed(2)}`),
      ...kinds.map(({ kind, requestsPerS, layers, batch }) => `  ${kind}: ${requestsPerS.toFixed(1)} whole requests a second an engine, with ${layers} layers and batches of ${batch}`),
      '  second  demand  capacity  served',
      ...seconds.map(({ second, demand, capacity, served }) => `  ${pad(String(second), 6)}  ${pad(demand.toFixed(0), 6)}  ${pad(capacity.toFixed(0), 8)}  ${pad(percent(demand === 0 ? 1 : Math.min(1, served / demand)), 6)}`)
    ]),
    '',
    `not in the arithmetic: ${leftOut.length === 0 ? 'nothing' : leftOut.join(', ')}`
  ].join('\n')
}

function percent (share: number): string {
  return `${(share * 100).toFixed(1)}%`
}

function pad (text: string, width: number): string {
  return text.padStart(width)
}
