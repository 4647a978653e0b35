/**
 * Engines as one host reaches them.
 */
import type { EngineClient, OpenStage, TokenFrame } from '../../src/engine/types.js'
import { createSubject } from '../../src/stream/createSubject/index.js'
import type { HostGate } from '../createHostGate/index.js'

/** A host's engine client. */
export interface GatedEngines {
  client: EngineClient
  /** Breaks every open connection, as the death of the host's process does. */
  breakAll: () => void
}

/** An engine client whose calls and tokens pass a host's gate. */
export function gateEngines (client: EngineClient, gate: HostGate): GatedEngines {
  const stages = new Set<OpenStage>()
  const gated = gate.wrap(client)
  return {
    breakAll () {
      for (const stage of stages) stage.detach()
    },
    client: {
      ...gated,
      held: gated.held,
      cancel: gated.cancel,
      status: gated.status,
      order: gated.order,
      async open (endpoint, sequence, options) {
        const opened = await gated.open(endpoint, sequence, options)
        if (opened.kind !== 'open') return opened
        stages.add(opened.stage)
        return { kind: 'open', stage: gateStage(opened.stage, gate) }
      },
      async [Symbol.asyncDispose] () {}
    }
  }
}

function gateStage (stage: OpenStage, gate: HostGate): OpenStage {
  const subject = createSubject<TokenFrame>()
  stage.frames.observe(frame => gate.run(() => subject.next(frame))).then(
    () => gate.run(() => subject.complete()),
    (error: Error) => gate.run(() => subject.fail(error))
  )
  return { ...stage, frames: subject.stream, [Symbol.asyncDispose]: () => stage[Symbol.asyncDispose]() }
}
