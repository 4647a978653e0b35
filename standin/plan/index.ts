/**
 * The plan of a stand-in process: which outside systems it plays.
 */
import { z } from 'zod'

/** One engine of a plan. */
export const plannedEngineSchema = z.strictObject({
  name: z.string(),
  failureDomain: z.string().default('a'),
  /** Model and layers that it holds from the start; none until an order comes. */
  model: z.string().nullable().default(null),
  version: z.string().nullable().default(null),
  fromLayer: z.int().min(0).default(0),
  toLayer: z.int().min(0).default(0),
  tokensPerS: z.number().positive().default(2_000),
  stepMs: z.number().min(0).default(1),
  /** Activations a second that its link to the next stage carries; no limit by default. */
  linkTokensPerS: z.number().positive().optional(),
  linkDelayMs: z.number().min(0).default(0),
  /** File to which each row of the ledger is appended. */
  ledgerFile: z.string().optional()
})

/** Checked form of a plan file. */
export const planSchema = z.strictObject({
  address: z.ipv4().default('127.0.0.1'),
  objectApi: z.strictObject({ port: z.int().min(0).default(0) }).optional(),
  hostList: z.strictObject({ port: z.int().min(0).default(0), lagMs: z.int().min(0).default(0) }).optional(),
  /** Host list of another stand-in process to enter the engines and services in. */
  joinHostList: z.url().optional(),
  engines: z.array(plannedEngineSchema).default([]),
  services: z.array(z.strictObject({ name: z.string(), failureDomain: z.string().default('a') })).default([])
})

/** A checked plan. */
export type Plan = z.infer<typeof planSchema>
