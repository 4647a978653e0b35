/**
 * Sends a load to the entries of a deployment.
 */
import http from 'node:http'
import { planArrivals } from '../../src/load/planArrivals/index.js'
import { runLoad } from '../../src/load/runLoad/index.js'
import { streamCompletion } from '../../src/load/streamCompletion/index.js'
import type { LoadMix, LoadPart, LoadRecord } from '../../src/load/types.js'
import { createSystemRuntime } from '../../src/runtime/createSystemRuntime/index.js'
import type { Deployment } from '../startDeployment/index.js'

/** Sends a request mix that asks for `tokensPerS` tokens per second, and waits for every answer. */
export async function sendLoad (
  deployment: Deployment,
  load: { tokensPerS: number, durationS: number, parts: LoadPart[] },
  options: { seed: number }
): Promise<LoadRecord[]> {
  const { tokensPerS, durationS, parts } = load
  const totalShare = parts.reduce((sum, part) => sum + part.share, 0)
  const meanTokens = parts.reduce((sum, part) => sum + part.share * (part.answerTokens.least + part.answerTokens.most) / 2, 0) / totalShare
  const mix: LoadMix = { requestsPerS: tokensPerS / meanTokens, durationS, parts }
  const agent = new http.Agent({ keepAlive: true })
  const runtime = createSystemRuntime()
  const records = await runLoad(planArrivals(mix, options), {
    addresses: deployment.entries.map(entry => String(entry.listening.caller)),
    send: call => streamCompletion(call, { runtime, agent }),
    runtime
  })
  agent.destroy()
  return records
}
