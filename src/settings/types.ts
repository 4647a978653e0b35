/**
 * Schema of the daemons' settings, read once at the start. Names of quantities end in their unit;
 * objects are strict, so that a misspelt field is an error. What operators change while the system
 * runs is in change tickets, not here.
 */
import { z } from 'zod'
import { POLICY_NAMES } from '../route/types.js'

const port = z.int().min(0).max(65_535)
const positiveMs = z.int().positive()
const ipAddress = z.union([z.ipv4(), z.ipv6()])

/** An operator who may use the operator port; only a salted hash of the token is stored. */
export const operatorSchema = z.strictObject({
  name: z.string().min(1),
  tokenHash: z.string().regex(/^sha256:[0-9a-f]{16,}:[0-9a-f]{64}$/, 'expected sha256:<salt>:<hash> in hexadecimal')
})

/** Fields that entry and control daemons share. */
export const daemonSettingsSchema = z.strictObject({
  /** Name of this host in the host list and among the members. */
  host: z.string().min(1),
  failureDomain: z.string().min(1),
  /** IP address at which peers, callers and operators reach this host. */
  address: ipAddress,
  /** Listening ports; 0 lets the operating system choose one. */
  ports: z.strictObject({
    caller: port.default(0),
    operator: port.default(0),
    peer: port.default(0)
  }).prefault({}),
  objectApi: z.strictObject({
    url: z.url(),
    callTimeoutMs: positiveMs.default(2_000),
    watchWaitMs: positiveMs.default(5_000)
  }),
  hostList: z.strictObject({
    url: z.url(),
    pollMs: positiveMs.default(1_000)
  }),
  operators: z.array(operatorSchema).min(1),
  gossip: z.strictObject({
    intervalMs: positiveMs.default(1_000)
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    file: z.string().optional()
  }).prefault({}),
  limits: z.strictObject({
    headerSizeBytes: z.int().positive().default(16_384),
    bodySizeBytes: z.int().positive().default(1_048_576),
    promptTokens: z.int().positive().default(32_768),
    answerTokens: z.int().positive().default(8_192),
    bodyDeadlineMs: positiveMs.default(10_000),
    readerBufferBytes: z.int().positive().default(262_144)
  }).prefault({}),
  routing: z.strictObject({
    /** Policy by which the next stage of a pipeline is chosen. */
    policy: z.enum(POLICY_NAMES).default('flowShare')
  }).prefault({}),
  shutdown: z.strictObject({
    /** How long the load balancer may still send requests after readiness is withdrawn. */
    balancerLagMs: z.int().min(0).default(3_000),
    deadlineMs: positiveMs.default(120_000)
  }).prefault({})
})

/** Settings of an entry or control daemon. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>
