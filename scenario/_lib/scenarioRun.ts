/**
 * The state of a scenario while it runs.
 */
import type { TokenFrame } from '../../src/engine/types.js'
import { createSimulation, type Simulation, type SimulatedDaemon } from '../createSimulation/index.js'
import type { HandlerAnswer } from '../invokeHandler/index.js'

/** Account that every scenario uses; its token is `studio.studio-secret`. */
export const ACCOUNT = 'studio'

/** A completion request or a booking. */
export interface CallerRequest {
  name: string
  answer: HandlerAnswer
  body: string
  /** Number of tokens requested; absent for bookings. */
  tokens?: number
  prompt?: string
  model?: string
  /** Frames that the request received before it was continued on another host. */
  earlierFrames: TokenFrame[]
}

/** The layers of a model that an engine is started with. */
export interface StagePlacement {
  target: string
  model: string
  fromLayer: number
  toLayer: number
}

/** A running scenario. */
export interface ScenarioRun {
  simulation: Simulation
  executedStatements: string[]
  requests: Map<string, CallerRequest>
  /** Answers to tickets by `<number> <operator>`. */
  tickets: Map<string, HandlerAnswer>
  placements: StagePlacement[]
  services: string[]
  /** Drains by host: whether each has ended, and how many answers were open at its end. */
  drains: Map<string, { done: boolean, openAnswerCount: number }>
  /** How many sequences each leaving target had been sent when its time to leave expired. */
  openCountsAtLeavingDeadline: Map<string, number>
  /** Targets that were marked as leaving. */
  leaving: Set<string>
  storeSnapshot?: { objects: ReturnType<Simulation['store']['snapshot']>, revision: number }
}

/** Creates the state of a scenario with an empty simulation. */
export function createScenarioRun (options: { seed: number }): ScenarioRun {
  return {
    simulation: createSimulation(options),
    executedStatements: [],
    requests: new Map(),
    tickets: new Map(),
    placements: [],
    services: [],
    drains: new Map(),
    openCountsAtLeavingDeadline: new Map(),
    leaving: new Set()
  }
}

/** All frames that a caller received for a request, from every host that answered it. */
export function receivedFrames (request: CallerRequest): TokenFrame[] {
  return [...request.earlierFrames, ...parseFrames(request.answer.body())]
}

/** Parses the frames of a stream of server-sent events. */
export function parseFrames (body: string): TokenFrame[] {
  return body.split('\n\n').flatMap(event => {
    const id = /^id: (.+)$/m.exec(event)?.[1]
    const data = /^data: (.+)$/m.exec(event)?.[1]
    if (id === undefined || data === undefined) return []
    const [, attempt, position] = id.split(':')
    const { choices } = JSON.parse(data) as { choices: Array<{ text: string }> }
    return [{ attempt: Number(attempt), position: Number(position), token: choices[0]!.text }]
  })
}

/** The id that the entry assigned to a request, or an empty string before its first frame. */
export function requestIdOf (request: CallerRequest): string {
  return /^id: ([^:]+):/m.exec(request.answer.body())?.[1] ?? ''
}

/** Daemons that are neither frozen nor killed. */
export function runningDaemons (run: ScenarioRun): SimulatedDaemon[] {
  return run.simulation.daemons.filter(daemon => daemon.process.state() === 'running')
}
