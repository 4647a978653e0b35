/**
 * The plan of a stand-in process: which external systems it runs stand-ins for.
 */
import { z } from 'zod'

/** Schema of one engine of a plan. */
export const plannedEngineSchema = z.strictObject({
  name: z.string(),
  failureDomain: z.string().default('a'),
  /** Model that the engine holds at the start; none by default, until it receives an order. */
  model: z.string().nullable().default(null),
  version: z.string().nullable().default(null),
  fromLayer: z.int().min(0).default(0),
  toLayer: z.int().min(0).default(0),
  tokensPerS: z.number().positive().default(2_000),
  stepMs: z.number().min(0).default(1),
  /** Bandwidth of the link to the next stage, in activations per second; no limit by default. */
  linkTokensPerS: z.number().positive().optional(),
  linkDelayMs: z.number().min(0).default(0),
  /** File to which each ledger row is appended. */
  ledgerFile: z.string().optional()
})

/** Schema of a plan file. */
export const planSchema = z.strictObject({
  address: z.ipv4().default('127.0.0.1'),
  objectApi: z.strictObject({ port: z.int().min(0).default(0) }).optional(),
  hostList: z.strictObject({ port: z.int().min(0).default(0), lagMs: z.int().min(0).default(0) }).optional(),
  /** URL of another stand-in process's host list, to which the engines and services are added. */
  joinHostList: z.url().optional(),
  engines: z.array(plannedEngineSchema).default([]),
  services: z.array(z.strictObject({ name: z.string(), failureDomain: z.string().default('a') })).default([])
})

/** A validated plan. */
export type Plan = z.infer<typeof planSchema>
