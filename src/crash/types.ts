/**
 * Evidence on requests that crash engines, as hosts tell it each other in their digests.
 */
import { z } from 'zod'

/** An engine that ended when it had just begun to run a request with this trait. */
export const crashSightingSchema = z.object({
  /** Empty for a whole request. */
  service: z.string(),
  /** Id of a part of the prompt that other requests may share, or the request as a whole. */
  part: z.string(),
  /** Tells requests apart; their repeats have the same. */
  request: z.string(),
  targetId: z.string(),
  /** Start of the target, in Unix milliseconds; tells apart two starts with one id. */
  bornMs: z.number(),
  /** Index of the part in the prompt; the first ones are shared most. Absent for whole requests, and from hosts of earlier versions. */
  position: z.int().min(0).optional(),
  /** Time since the crash, in milliseconds. */
  ageMs: z.number().min(0)
})

/** A part of prompts, or a whole request, that an engine has answered completely. */
export const answeredPartSchema = z.object({
  service: z.string(),
  part: z.string(),
  /** Time since the latest such answer, in milliseconds. */
  ageMs: z.number().min(0)
})

/** What a host tells another one. */
export const crashNewsSchema = z.object({
  sightings: z.array(crashSightingSchema),
  answered: z.array(answeredPartSchema)
})

/** An engine that ended when it had just begun to run a request with this trait. */
export type CrashSighting = z.infer<typeof crashSightingSchema>
/** What a host tells another one. */
export type CrashNews = z.infer<typeof crashNewsSchema>

/** What a request is recognized by. */
export interface RequestTraits {
  service: string
  /** Identifies the whole content of the request. */
  fingerprint: string
  /** Ids of the parts of its prompt, in order; the last one belongs to the request itself. */
  promptParts: readonly string[]
}

/** Parts of prompts that crash engines when they occur together, mostly a single part, or one whole request. */
export interface CrashingTraits {
  /** Empty for a whole request. */
  service: string
  parts: string[]
  /** Number of engines that ended. */
  crashes: number
  /** Number of different requests that they had begun to answer. */
  requests: number
  /** Whether few other parts may explain the crashes as well. */
  isAmbiguous: boolean
}
