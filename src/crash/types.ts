/**
 * Evidence on parts of prompts that crash engines, as hosts tell it each other in their digests.
 */
import { z } from 'zod'

/** An engine that ended when it had just begun to answer a prompt with this part. */
export const crashSightingSchema = z.object({
  service: z.string(),
  /** Id of a part of the prompt that other requests may share. */
  part: z.string(),
  /** Id of the last part of the prompt, which tells requests apart; their repeats have the same. */
  request: z.string(),
  targetId: z.string(),
  /** Start of the target, in Unix milliseconds; tells apart two starts with one id. */
  bornMs: z.number(),
  /** Time since the crash, in milliseconds. */
  ageMs: z.number().min(0)
})

/** A part of prompts that an engine has answered completely. */
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

/** An engine that ended when it had just begun to answer a prompt with this part. */
export type CrashSighting = z.infer<typeof crashSightingSchema>
/** What a host tells another one. */
export type CrashNews = z.infer<typeof crashNewsSchema>

/** Parts of prompts that crash engines when they occur together; mostly a single part. */
export interface CrashingParts {
  service: string
  parts: string[]
  /** Number of engines that ended. */
  crashes: number
  /** Number of different requests that they had begun to answer. */
  requests: number
}
