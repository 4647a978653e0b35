/**
 * The fleet that a gateway serves: the configuration written by operators, and the running
 * targets. The schemas validate what peers send; the types are inferred from them.
 */
import { z } from 'zod'

/** A range of a model's layers. */
export const layerRangeSchema = z.object({
  from: z.int().min(0),
  /** Exclusive. */
  to: z.int().min(0)
})

/** A target as described by its own entry in the store. */
export const targetSchema = z.object({
  /** Normally unique to one start of the target; a target that starts again with the same id differs in `bornMs`. */
  id: z.string(),
  service: z.string(),
  /** `ip:port`. */
  address: z.string(),
  failureDomain: z.string(),
  /** Unix time of its start in milliseconds; tells apart two starts with one id. */
  bornMs: z.number(),
  isLeaving: z.boolean(),
  /** Kind of its accelerator, a key of the model's `kinds`; absent for plain services. */
  kind: z.string().optional(),
  /** Layers that it holds, absent when it holds none. */
  layers: layerRangeSchema.optional(),
  /** Requests that it runs concurrently. */
  slots: z.number()
})

/** Speed and memory of one kind of accelerator, relative to the reference accelerator. */
export const engineKindSchema = z.object({
  memoryMb: z.number(),
  /** Factor on the duration of a decoding step; higher is slower. */
  pace: z.number(),
  /** Factor on the duration of prefill. */
  prefillFactor: z.number()
})

/** Timing and memory of a model's engines; times are for all layers on the reference accelerator. */
export const engineModelSchema = z.object({
  layerCount: z.int().positive(),
  /** Size of one layer's weights, in megabytes. */
  layerMb: z.number(),
  /** Size of the KV cache of one token in one layer, in megabytes. */
  tokenLayerMb: z.number(),
  /** Duration of a decoding step. */
  stepMs: z.number(),
  /** Added to a step for each sequence in the batch. */
  perSequenceMs: z.number(),
  /** Added to a step for each 1,000 tokens of context in the batch. */
  perContextKMs: z.number(),
  /** Rate at which prompts are read. */
  prefillTokensPerMs: z.number(),
  /** Size of the activations of one token, which each stage passes to the next. */
  activationBytes: z.number(),
  /** Bandwidth of the link between two failure domains, in megabits per second. */
  pipeMbps: z.number(),
  /** Time to load every layer, in milliseconds. */
  loadMs: z.number(),
  /** Number of concurrent loads that still run at full speed. */
  loadsAtOnce: z.number(),
  /** Requests that one engine runs concurrently. */
  slots: z.number(),
  /** Mean size of a request, in prompt and output tokens. */
  usualPromptTokens: z.number(),
  usualOutputTokens: z.number(),
  /** Tokens in one event of a stream; absent if the operator does not state it, or in the state of an earlier version. */
  tokensPerEvent: z.number().positive().optional(),
  kinds: z.record(z.string(), engineKindSchema)
})

/** A service that routes point to. */
export const serviceSchema = z.object({
  name: z.string(),
  /** Present if its targets are engines that each hold a range of a model's layers. */
  model: engineModelSchema.optional()
})

/** A route of the configuration. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  /** A `safe` request may run more than once, an `unsafe` one at most once. A stream that is not resumable counts as unsafe. */
  kind: z.enum(['safe', 'unsafe', 'stream']),
  timeoutMs: z.number(),
  /** Target latency. */
  objectiveMs: z.number(),
  /** Priority: lower is more urgent. */
  rank: z.number(),
  /** Services with their weights in the traffic split; each request is sent to one of them. */
  services: z.array(z.object({ service: z.string(), weight: z.number() })),
  /** Most targets that one request may be sent to. */
  maxAttempts: z.number(),
  /** Whether requests need no API key. */
  isPublic: z.boolean(),
  /** Whether an interrupted stream can be continued after its last event. */
  isResumable: z.boolean(),
  /** Target for the longest pause between two events, in milliseconds; streams only. */
  gapObjectiveMs: z.number().optional()
})

/** A client account. */
export const clientAccountSchema = z.object({
  name: z.string(),
  /** API keys. */
  keys: z.array(z.string()),
  /** Priority of the account, compared before the route's; lower is more urgent. */
  rank: z.number().optional()
})

/** One complete version of the configuration. */
export const fleetConfigurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  accounts: z.array(clientAccountSchema),
  limits: z.object({
    headerBytes: z.number(),
    bodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number()
  })
})

/** A range of a model's layers. */
export type LayerRange = z.infer<typeof layerRangeSchema>
/** A target as described by its own entry in the store. */
export type Target = z.infer<typeof targetSchema>
/** Timing and memory of a model's engines. */
export type EngineModel = z.infer<typeof engineModelSchema>
/** A service that routes point to. */
export type Service = z.infer<typeof serviceSchema>
/** A route of the configuration. */
export type Route = z.infer<typeof routeSchema>
/** A client account. */
export type ClientAccount = z.infer<typeof clientAccountSchema>
/** One complete version of the configuration. */
export type FleetConfiguration = z.infer<typeof fleetConfigurationSchema>

/** What one host sends another: the targets that the other lacks or has in another state, or all targets. */
export const targetUpdateSchema = z.object({
  /** Era and revision of the store up to which changes are included; the era is absent if the store does not say it, and in the state of an earlier version. */
  era: z.int().min(0).optional(),
  revision: z.number(),
  /** Fingerprint of the sender's targets, which the receiver's match once the update is applied. */
  fingerprint: z.string(),
  /** Whether `changed` contains all targets. */
  isWhole: z.boolean(),
  changed: z.array(targetSchema),
  removedIds: z.array(z.string()),
  /** Targets kept although their entries are missing, with the time until they are removed. */
  lapsing: z.array(z.object({ id: z.string(), leftMs: z.number() }))
})

/** Changes to the targets for another host, or all targets. */
export type TargetUpdate = z.infer<typeof targetUpdateSchema>

/** One stage of a path: a target and the range of layers that it runs. */
export interface Stage extends LayerRange {
  target: Target
}

/** Consecutive stages that together run every layer of a model once. */
export type Path = Stage[]
