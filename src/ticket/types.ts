/**
 * Change tickets: immutable values, each with the whole new state of every scope it touches.
 * The schema of a scope's value follows from the first part of the scope's name.
 */
import { z } from 'zod'

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'expected letters, digits, ".", "_" or "-"')
const positiveMs = z.int().positive()

/** One engine's part of a model. */
export const placementSchema = z.strictObject({
  target: name,
  fromLayer: z.int().min(0),
  /** Exclusive. */
  toLayer: z.int().positive()
})

/** Deadlines of a model's answers. */
export const modelDeadlinesSchema = z.strictObject({
  /** Longest wait for the first token before the pipeline is examined. */
  firstTokenMs: positiveMs.default(1_000),
  /** Longest gap between tokens before the pipeline is examined. */
  betweenTokensMs: positiveMs.default(500),
  /** Longest time for a whole answer, where the caller gives none. */
  answerMs: positiveMs.default(120_000)
})

/** Scope `models/<name>`. */
export const modelScopeSchema = z.strictObject({
  layers: z.int().positive(),
  version: z.string().min(1),
  adapters: z.array(z.string().min(1)).default([]),
  placement: z.array(placementSchema),
  deadlines: modelDeadlinesSchema.prefault({})
})

/** One target. */
export const targetSchema = z.strictObject({
  name,
  /** Host in the platform's host list that it runs on. */
  host: name,
  kind: z.enum(['engine', 'service']),
  accelerator: z.string().optional(),
  /** Tokens a second through all layers that it holds, when it serves nothing else. */
  tokensPerS: z.number().positive().optional(),
  /** Its link to the next stage, where that is slower than the engine or far away. */
  link: z.strictObject({
    /** Activations that it carries, in tokens a second. */
    tokensPerS: z.number().positive().optional(),
    delayMs: z.number().min(0).default(0)
  }).optional(),
  /** Whether it refuses orders with an old fencing number. */
  checksFencing: z.boolean().default(true)
})

/** Scope `targets/<group>`. */
export const targetsScopeSchema = z.strictObject({ targets: z.array(targetSchema) })

/** One client account. */
export const accountSchema = z.strictObject({
  name,
  /** Salted hash of the bearer token's secret part; see `coltsfootlead token`. */
  tokenHash: z.string().regex(/^sha256:[0-9a-f]{16,}:[0-9a-f]{64}$/, 'expected sha256:<salt>:<hash> in hexadecimal'),
  limits: z.strictObject({
    requestsPerS: z.number().positive().optional(),
    tokensPerS: z.number().positive().optional(),
    inFlight: z.int().positive().optional()
  }).prefault({}),
  weight: z.number().positive().default(1),
  priority: z.int().min(0).max(9).default(5)
})

/** Scope `accounts/<group>`. */
export const accountsScopeSchema = z.strictObject({ accounts: z.array(accountSchema) })

/** Calls of a service that share a rule. */
export const callRuleSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  pathPrefix: z.string().startsWith('/'),
  /** Whether the call may be sent again when it may have run. */
  repeatable: z.boolean()
})

/** Scope `services/<name>`. */
export const serviceScopeSchema = z.strictObject({
  targets: z.array(name).min(1),
  calls: z.array(callRuleSchema),
  timeoutMs: positiveMs.default(5_000),
  /** Path that tells the state of a keyed call; `{key}` stands for the key. */
  statusPath: z.string().startsWith('/').optional(),
  /** Time after a send's end from which `statusPath` answering 404 proves that it did not run; never unless given. */
  statusSettlesAfterMs: positiveMs.optional(),
  /** Statuses by which the service proves that it did not run a call; none unless given. */
  notRunStatuses: z.array(z.int().min(400).max(599)).default([])
})

/** Scope `timeouts`. */
export const timeoutsScopeSchema = z.strictObject({
  connectMs: positiveMs.default(500),
  /** Age of the configuration from which a host cut off from store and peers refuses requests. */
  staleAfterMs: positiveMs.default(10_000),
  /** Rate at which the weight store may be read, in loads a minute. */
  weightLoadsPerMinute: z.number().positive().default(30)
})

/** Schemas by the first part of a scope's name, and whether a second part is required. */
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
  /** Revision the ticket was written against; refused when another is in force. */
  baseRevision: z.int().min(0).optional(),
  /** Scope name to whole new state; `null` removes the scope. */
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

/** One acceptance, as the head lists it until the ticket's record says so. */
export const acceptedTicketSchema = z.strictObject({
  ticket: z.int().positive(),
  revision: z.int().positive(),
  digest: z.string(),
  /** Whether the ticket's record is known to say so too. */
  noted: z.boolean().optional()
})

/** One acceptance. */
export type AcceptedTicket = z.infer<typeof acceptedTicketSchema>

/** The stored head: the one object whose version decides what is in force. */
export const headSchema = z.strictObject({
  revision: z.int().min(0),
  /** Scope to the number of the ticket whose value is in force. */
  scopes: z.record(z.string(), z.int().positive()),
  /** Removed scopes, each with the number of the ticket that removed it. */
  removed: z.record(z.string(), z.int().positive()).optional(),
  /** Tickets accepted of late, oldest first; earlier ones are noted in their records. */
  accepted: z.array(acceptedTicketSchema).optional(),
  /** Of the writer of this head, so that it knows its own write. */
  nonce: z.string(),
  /** Ticket that made this revision. */
  ticket: z.int().positive().optional()
})

/** The stored head. */
export type Head = z.infer<typeof headSchema>

/** The stored record of a ticket, created before anything else of it. */
export const ticketRecordSchema = z.strictObject({
  number: z.int().positive(),
  digest: z.string(),
  nonce: z.string(),
  scopes: z.array(z.string()),
  note: z.string().optional(),
  submittedMs: z.number(),
  submittedBy: z.string(),
  /** Revision at which it was accepted, once it has left the head's list. */
  acceptedRevision: z.int().positive().optional()
})

/** The stored record of a ticket. */
export type TicketRecord = z.infer<typeof ticketRecordSchema>

/** A fault of a ticket's content. */
export interface TicketFault {
  scope: string
  field: string
  message: string
}

/** What became of a submission. */
export type TicketOutcome =
  | { kind: 'accepted', number: number, revision: number }
  | { kind: 'refused', number: number, reason: 'ticketInvalid' | 'ticketNumberTaken' | 'ticketSuperseded' | 'ticketStaleBase' | 'ticketInconsistent' | 'ticketUnknownHost' | 'storeUnavailable', facts: Record<string, unknown> }
  /** The head may yet be moved by this ticket; ask again with the same ticket. */
  | { kind: 'uncertain', number: number, cause: string }
