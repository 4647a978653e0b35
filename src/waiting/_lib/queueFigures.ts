/**
 * Keys and form in which hosts tell each other the figures of their queues: entries of the load in
 * their digests, which any build adds up.
 */
import type { EngineLoad } from '../../path/choosePath/index.js'
import type { RankFigures } from '../types.js'

/** Where a host publishes its figures and reads the sums. */
export interface QueueSharing {
  service: string
  /** Replaces what this host publishes under a key, or withdraws it. */
  publish: (key: string, load: EngineLoad | undefined) => void
  /** Sum over all hosts that are heard, this one included. */
  sumOf: (key: string) => EngineLoad
  /** Ranks of the requests that the configuration allows for the service. */
  ranks: () => readonly number[]
  /** Mean age of what is known of other hosts, in milliseconds. */
  ageMs: () => number
  /** Number of hosts, this one included. */
  hostCount: () => number
  /** Whether no other host is heard although there were some lately. */
  isCutOff: () => boolean
  /** Room of the service's targets; without it none is taken to be free. */
  places?: () => { freePlaces: number, totalPlaces: number }
}

/** Figures of one host for a rank. */
export type OwnFigures = Omit<RankFigures, 'rank' | 'waitingHosts'>

const NO_LOAD: EngineLoad = { tokenLayers: 0, sequences: 0, firstSequences: 0 }

const queueKey = (service: string, rank: number): string => `queue ${service} ${rank}`
const flowKey = (service: string, rank: number): string => `flow ${service} ${rank}`

/** Key of what was served of an account. */
export const accountKey = (account: string): string => `account ${account}`

/** An entry of two numbers; `sequences` counts the hosts that publish it, and is never 0, as entries without are dropped. */
export const pairOf = (one: number, other: number): EngineLoad | undefined => one <= 0 && other <= 0 ? undefined : { tokenLayers: one, sequences: 1, firstSequences: other }

/** Tells the figures of this host for a rank. */
export function publishFigures (rank: number, { waiting, promised, arrivalsPerS, placesPerS }: OwnFigures, { service, publish }: Pick<QueueSharing, 'service' | 'publish'>): void {
  publish(queueKey(service, rank), pairOf(waiting, promised))
  publish(flowKey(service, rank), pairOf(arrivalsPerS, placesPerS))
}

/** Reads the sums of a rank over all hosts. */
export function readFigures (rank: number, { service, sumOf }: Pick<QueueSharing, 'service' | 'sumOf'>): RankFigures {
  const [queue, flow] = [sumOf(queueKey(service, rank)), sumOf(flowKey(service, rank))]
  return { rank, waiting: queue.tokenLayers, waitingHosts: queue.sequences, promised: queue.firstSequences, arrivalsPerS: flow.tokenLayers, placesPerS: flow.firstSequences }
}

/** Sharing of a host that has no peers. */
export function createOwnSharing (): QueueSharing {
  const loads = new Map<string, EngineLoad>()
  return {
    service: '',
    publish (key, load) {
      if (load === undefined) loads.delete(key)
      else loads.set(key, load)
    },
    sumOf: key => loads.get(key) ?? NO_LOAD,
    ranks: () => [],
    ageMs: () => 0,
    hostCount: () => 1,
    isCutOff: () => false
  }
}
