/**
 * The fleet that a gateway serves: what operators configured, and the targets that are up.
 * Schemas check what arrives from peers; the types follow from them.
 */
import { z } from 'zod'

/** A range of a model's layers. */
export const layerRangeSchema = z.object({
  from: z.int().min(0),
  /** Exclusive. */
  to: z.int().min(0)
})

/** A target as it describes itself. */
export const targetSchema = z.object({
  /** Identity of one start of the target, unless it starts again under the same one: see `bornMs`. */
  id: z.string(),
  service: z.string(),
  /** `ip:port`. */
  address: z.string(),
  failureDomain: z.string(),
  /** Unix time of its start in milliseconds; tells apart two starts under one identity. */
  bornMs: z.number(),
  isLeaving: z.boolean(),
  /** Name of its accelerator among the model's kinds; absent for plain services. */
  kind: z.string().optional(),
  /** Layers that it holds, absent when it holds none. */
  layers: layerRangeSchema.optional(),
  /** Requests that it runs at once. */
  slots: z.number()
})

/** How fast one kind of accelerator is and what it holds. */
export const engineKindSchema = z.object({
  memoryMb: z.number(),
  /** Factor on the time of a step. */
  pace: z.number(),
  /** Factor on the time to read a prompt. */
  prefillFactor: z.number()
})

/** Timing and memory of a model's engines; times are for all layers on the reference accelerator. */
export const engineModelSchema = z.object({
  layerCount: z.int().positive(),
  layerMb: z.number(),
  /** Cache of one token in one layer, in megabytes. */
  tokenLayerMb: z.number(),
  stepMs: z.number(),
  /** Added to a step for each sequence in the batch. */
  perSequenceMs: z.number(),
  /** Added to a step for each 1,000 tokens of context in the batch. */
  perContextKMs: z.number(),
  prefillTokensPerMs: z.number(),
  /** Bytes that one token hands from stage to stage. */
  activationBytes: z.number(),
  /** Rate of the link between two failure domains, in megabits per second. */
  pipeMbps: z.number(),
  /** Time to load every layer, in milliseconds. */
  loadMs: z.number(),
  /** Loads that run at full speed at the same time. */
  loadsAtOnce: z.number(),
  slots: z.number(),
  /** Mean size of a request. */
  usualPromptTokens: z.number(),
  usualOutputTokens: z.number(),
  kinds: z.record(z.string(), engineKindSchema)
})

/** A service that routes point to. */
export const serviceSchema = z.object({
  name: z.string(),
  /** Present when its targets are engines that hold ranges of layers. */
  model: engineModelSchema.optional()
})

/** A route of the configuration. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  /** `safe` may run more than once; `unsafe` at most once; a stream that is not resumable is unsafe too. */
  kind: z.enum(['safe', 'unsafe', 'stream']),
  timeoutMs: z.number(),
  objectiveMs: z.number(),
  /** Lower is more urgent. */
  rank: z.number(),
  /** Services with their weights; a request is sent to one of them. */
  services: z.array(z.object({ service: z.string(), weight: z.number() })),
  /** Targets that one request may be sent to. */
  maxAttempts: z.number(),
  /** Whether it is served without a key. */
  isPublic: z.boolean(),
  isResumable: z.boolean(),
  /** Longest pause between two events that is still on time; streams only. */
  gapObjectiveMs: z.number().optional()
})

/** A client account. */
export const clientAccountSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Goes before the rank of the route. */
  rank: z.number().optional()
})

/** One version of the configuration, whole. */
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
/** A target as it describes itself. */
export type Target = z.infer<typeof targetSchema>
/** Timing and memory of a model's engines. */
export type EngineModel = z.infer<typeof engineModelSchema>
/** A service that routes point to. */
export type Service = z.infer<typeof serviceSchema>
/** A route of the configuration. */
export type Route = z.infer<typeof routeSchema>
/** A client account. */
export type ClientAccount = z.infer<typeof clientAccountSchema>
/** One version of the configuration, whole. */
export type FleetConfiguration = z.infer<typeof fleetConfigurationSchema>

/** Targets that differ from what another host knows, or all of them; hosts send it to each other. */
export const targetUpdateSchema = z.object({
  /** Highest revision of the store that it includes. */
  revision: z.number(),
  /** Fingerprint of the targets once it is applied. */
  fingerprint: z.string(),
  /** Whether `changed` lists every target. */
  isWhole: z.boolean(),
  changed: z.array(targetSchema),
  removedIds: z.array(z.string()),
  /** Targets whose entries are missing, with the time until they are given up. */
  lapsing: z.array(z.object({ id: z.string(), leftMs: z.number() }))
})

/** Targets that differ from what another host knows, or all of them. */
export type TargetUpdate = z.infer<typeof targetUpdateSchema>

/** One stage of a path: a target and the layers that it runs. */
export interface Stage extends LayerRange {
  target: Target
}

/** Stages that run every layer once, in order. */
export type Path = Stage[]
