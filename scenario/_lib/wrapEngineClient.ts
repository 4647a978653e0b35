/**
 * Connects the in-memory engines to one simulated process.
 */
import type { EngineClient, OpenStage, TokenFrame } from '../../src/engine/types.js'
import { createSubject } from '../../src/stream/createSubject/index.js'
import type { SimulatedProcess } from '../createSimulatedProcess/index.js'

/** The engine client of a simulated process. */
export interface ProcessEngineClient {
  client: EngineClient
  /** Closes every open connection without cancelling its sequence, as the death of the process does. */
  detachAll: () => void
}

/** Wraps an engine client, so that its calls and tokens stop while the process is frozen or killed. */
export function wrapEngineClient (client: EngineClient, process: SimulatedProcess): ProcessEngineClient {
  const stages = new Set<OpenStage>()
  const wrapped = process.wrap(client)
  return {
    detachAll () {
      for (const stage of stages) stage.detach()
    },
    client: {
      ...wrapped,
      held: wrapped.held,
      cancel: wrapped.cancel,
      status: wrapped.status,
      order: wrapped.order,
      async open (endpoint, sequence, options) {
        const opened = await wrapped.open(endpoint, sequence, options)
        if (opened.kind !== 'open') return opened
        stages.add(opened.stage)
        return { kind: 'open', stage: wrapStage(opened.stage, process) }
      },
      async [Symbol.asyncDispose] () {}
    }
  }
}

function wrapStage (stage: OpenStage, process: SimulatedProcess): OpenStage {
  const subject = createSubject<TokenFrame>()
  stage.frames.observe(frame => process.run(() => subject.next(frame))).then(
    () => process.run(() => subject.complete()),
    (error: Error) => process.run(() => subject.fail(error))
  )
  return { ...stage, frames: subject.stream, [Symbol.asyncDispose]: () => stage[Symbol.asyncDispose]() }
}
