/**
 * Schemas and types of change tickets and of what is stored for them. A ticket is immutable and
 * holds the complete new value of each scope that it changes. The part of a scope's name before the
 * slash is its kind, which determines the schema of the value.
 */
import { z } from 'zod'

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'expected letters, digits, ".", "_" or "-"')
const positiveMs = z.int().positive()

/** A range of a model's layers on one engine. */
export const placementSchema = z.strictObject({
  target: nameSchema,
  fromLayer: z.int().min(0),
  /** Exclusive. */
  toLayer: z.int().positive()
})

/** Deadlines for the answers of a model. */
export const modelDeadlinesSchema = z.strictObject({
  /** Longest wait for the first token before the pipeline is examined. */
  firstTokenMs: positiveMs.default(1_000),
  /** Longest gap between tokens before the pipeline is examined. */
  betweenTokensMs: positiveMs.default(500),
  /** Longest time for a whole answer, where the caller gives none. */
  answerMs: positiveMs.default(120_000)
})

/** Value of a scope `models/<name>`. */
export const modelScopeSchema = z.strictObject({
  layers: z.int().positive(),
  version: z.string().min(1),
  adapters: z.array(z.string().min(1)).default([]),
  placement: z.array(placementSchema),
  deadlines: modelDeadlinesSchema.prefault({})
})

/** A target: an engine or a service. */
export const targetSchema = z.strictObject({
  name: nameSchema,
  /** Name in the platform's host list of the host that it runs on. */
  host: nameSchema,
  kind: z.enum(['engine', 'service']),
  accelerator: z.string().optional(),
  /** Tokens per second through all the layers that it holds, when it serves nothing else. */
  tokensPerS: z.number().positive().optional(),
  /** Its link to the next stage, if that is slower than the engine or has a notable delay. */
  link: z.strictObject({
    /** Throughput of activations, in tokens per second. */
    tokensPerS: z.number().positive().optional(),
    delayMs: z.number().min(0).default(0)
  }).optional(),
  /** Whether it refuses orders with an outdated fencing number. */
  checksFencing: z.boolean().default(true)
})

/** Value of a scope `targets/<group>`. */
export const targetsScopeSchema = z.strictObject({ targets: z.array(targetSchema) })

/** A client account. */
export const accountSchema = z.strictObject({
  name: nameSchema,
  /** Salted hash of the secret part of the bearer token, made by `coltsfootlead token`. */
  tokenHash: z.string().regex(/^sha256:[0-9a-f]{16,}:[0-9a-f]{64}$/, 'expected sha256:<salt>:<hash> in hexadecimal'),
  limits: z.strictObject({
    requestsPerS: z.number().positive().optional(),
    tokensPerS: z.number().positive().optional(),
    inFlight: z.int().positive().optional()
  }).prefault({}),
  weight: z.number().positive().default(1),
  priority: z.int().min(0).max(9).default(5)
})

/** Value of a scope `accounts/<group>`. */
export const accountsScopeSchema = z.strictObject({ accounts: z.array(accountSchema) })

/** Rule for the calls of a service with a given method and path prefix. */
export const callRuleSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  pathPrefix: z.string().startsWith('/'),
  /** Whether the call may be sent again although an earlier attempt may have run. */
  repeatable: z.boolean()
})

/** Value of a scope `services/<name>`. */
export const serviceScopeSchema = z.strictObject({
  targets: z.array(nameSchema).min(1),
  calls: z.array(callRuleSchema),
  timeoutMs: positiveMs.default(5_000),
  /** Path that reports the state of a call with an idempotency key; `{key}` is replaced by the key. */
  statusPath: z.string().startsWith('/').optional(),
  /** Time after the end of a send from which a 404 at `statusPath` proves that the call did not run. Unless given, a 404 never does. */
  statusSettlesAfterMs: positiveMs.optional(),
  /** Statuses with which the service states that it did not run the call; none by default. */
  notRunStatuses: z.array(z.int().min(400).max(599)).default([])
})

/** Value of the scope `timeouts`. */
export const timeoutsScopeSchema = z.strictObject({
  connectMs: positiveMs.default(500),
  /** Age of the configuration from which a host that is cut off from the store and its peers refuses requests. */
  staleAfterMs: positiveMs.default(10_000),
  /** Rate at which the weight store may be read, in loads per minute. */
  weightLoadsPerMinute: z.number().positive().default(30)
})

/** Schema by kind of scope, and whether a scope of that kind is named `<kind>/<name>` rather than `<kind>`. */
export const SCOPE_SCHEMAS = {
  models: { schema: modelScopeSchema, requiresName: true },
  targets: { schema: targetsScopeSchema, requiresName: true },
  accounts: { schema: accountsScopeSchema, requiresName: true },
  services: { schema: serviceScopeSchema, requiresName: true },
  timeouts: { schema: timeoutsScopeSchema, requiresName: false }
} as const

/** Kind of a scope. */
export type ScopeKind = keyof typeof SCOPE_SCHEMAS

/** A change ticket as operators write it; each scope's value is checked by its own schema. */
export const ticketSchema = z.strictObject({
  number: z.int().positive(),
  note: z.string().optional(),
  /** Revision that the ticket was written against; the ticket is refused when another one is in force. */
  baseRevision: z.int().min(0).optional(),
  /** Complete new value by scope; `null` removes the scope. */
  scopes: z.record(z.string(), z.unknown()).refine(scopes => Object.keys(scopes).length > 0, 'expected at least one scope')
})

export type Placement = z.infer<typeof placementSchema>
export type ModelScope = z.infer<typeof modelScopeSchema>
export type Target = z.infer<typeof targetSchema>
export type TargetsScope = z.infer<typeof targetsScopeSchema>
export type Account = z.infer<typeof accountSchema>
export type AccountsScope = z.infer<typeof accountsScopeSchema>
export type CallRule = z.infer<typeof callRuleSchema>
export type ServiceScope = z.infer<typeof serviceScopeSchema>
export type TimeoutsScope = z.infer<typeof timeoutsScopeSchema>
export type Ticket = z.infer<typeof ticketSchema>

/** An acceptance as the head lists it, at least until the ticket's record notes it too. */
export const acceptedTicketSchema = z.strictObject({
  ticket: z.int().positive(),
  revision: z.int().positive(),
  digest: z.string(),
  /** Whether the ticket's record is known to note the acceptance. */
  noted: z.boolean().optional()
})

/** An acceptance as the head lists it. */
export type AcceptedTicket = z.infer<typeof acceptedTicketSchema>

/** The stored head, which names the configuration in force. Tickets are accepted by conditional writes of this object. */
export const headSchema = z.strictObject({
  revision: z.int().min(0),
  /** Number of the ticket whose value is in force, by scope. */
  scopes: z.record(z.string(), z.int().positive()),
  /** Number of the ticket that removed the scope, by removed scope. */
  removed: z.record(z.string(), z.int().positive()).optional(),
  /** Recently accepted tickets, oldest first; earlier ones are noted in their records. */
  accepted: z.array(acceptedTicketSchema).optional(),
  /** Chosen by the writer of this head, to identify its write. */
  nonce: z.string(),
  /** Number of the ticket that created this revision. */
  ticket: z.int().positive().optional()
})

/** The stored head. */
export type Head = z.infer<typeof headSchema>

/** The stored record of a ticket, the first object that a submission creates. */
export const ticketRecordSchema = z.strictObject({
  number: z.int().positive(),
  digest: z.string(),
  nonce: z.string(),
  scopes: z.array(z.string()),
  note: z.string().optional(),
  submittedMs: z.number(),
  submittedBy: z.string(),
  /** Revision at which it was accepted; noted here before the entry leaves the head's list. */
  acceptedRevision: z.int().positive().optional()
})

/** The stored record of a ticket. */
export type TicketRecord = z.infer<typeof ticketRecordSchema>

/** A fault in the content of a ticket. */
export interface TicketFault {
  scope: string
  /** Path inside the scope's value with dots; empty for the whole scope. */
  field: string
  message: string
}

/** Outcome of a submission. */
export type TicketOutcome =
  | { kind: 'accepted', number: number, revision: number }
  | { kind: 'refused', number: number, reason: 'ticketInvalid' | 'ticketNumberTaken' | 'ticketSuperseded' | 'ticketStaleBase' | 'ticketInconsistent' | 'ticketUnknownHost' | 'storeUnavailable', facts: Record<string, unknown> }
  /** The ticket may have been accepted or still may be; submit the same ticket again. */
  | { kind: 'uncertain', number: number, cause: string }
