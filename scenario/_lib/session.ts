/**
 * What a scenario keeps while it runs.
 */
import type { TokenFrame } from '../../src/engine/types.js'
import { createWorld, type World, type WorldDaemon } from '../createWorld/index.js'
import type { HandlerAnswer } from '../invokeHandler/index.js'

/** Prefix of a scenario's account, whose token is `studio.studio-secret`. */
export const ACCOUNT = 'studio'

/** One request or booking of a caller. */
export interface CallerRequest {
  name: string
  answer: HandlerAnswer
  body: string
  /** Tokens asked for; absent for bookings. */
  tokens?: number
  prompt?: string
  model?: string
  /** Frames of earlier answers to the same request, from hosts that were lost. */
  earlier: TokenFrame[]
}

/** A stage's cut of a model. */
export interface EngineCut {
  target: string
  model: string
  fromLayer: number
  toLayer: number
}

/** A scenario under way. */
export interface Session {
  world: World
  notes: string[]
  requests: Map<string, CallerRequest>
  /** Answers to tickets by `<number> <operator>`. */
  tickets: Map<string, HandlerAnswer>
  cuts: EngineCut[]
  services: string[]
  /** Ends of drains by host, with the answers that were open then. */
  drains: Map<string, { done: boolean, cutOff: number }>
  /** Opens of a target when its time to leave had passed. */
  opensWhenLeft: Map<string, number>
  /** Targets that were told to leave. */
  leaving: Set<string>
  copy?: { objects: ReturnType<World['store']['snapshot']>, revision: number }
}

/** A session in an empty world. */
export function createSession (options: { seed: number }): Session {
  return {
    world: createWorld(options),
    notes: [],
    requests: new Map(),
    tickets: new Map(),
    cuts: [],
    services: [],
    drains: new Map(),
    opensWhenLeft: new Map(),
    leaving: new Set()
  }
}

/** Frames that a caller was given, over all hosts that answered it. */
export function framesOf (request: CallerRequest): TokenFrame[] {
  return [...request.earlier, ...parseFrames(request.answer.body())]
}

/** Frames of one stream of server-sent events. */
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

/** Identity that the entry gave a request. */
export function identityOf (request: CallerRequest): string {
  return /^id: ([^:]+):/m.exec(request.answer.body())?.[1] ?? ''
}

/** Daemons that run now. */
export function runningDaemons (session: Session): WorldDaemon[] {
  return session.world.daemons.filter(daemon => daemon.gate.state() === 'running')
}
