/**
 * Request body of the completions API.
 */
import { z } from 'zod'

/** Body of `POST /v1/completions`. Unknown fields are accepted, as clients send many. */
export const completionSchema = z.object({
  model: z.string().min(1),
  prompt: z.string(),
  max_tokens: z.int().positive().default(16),
  stream: z.boolean().default(false),
  /** Time limit for the whole answer, in milliseconds. */
  deadline_ms: z.int().positive().optional(),
  /** Tokens that the caller has already received, for a request with `Last-Event-ID` whose sequence no engine holds any more. */
  given: z.array(z.string()).optional()
})

/** A validated body. */
export type CompletionBody = z.infer<typeof completionSchema>

/** A valid body, or its validation errors, one text each. */
export type CompletionResult =
  | { kind: 'valid', body: CompletionBody }
  | { kind: 'invalid', faults: string[] }

/**
 * @name parseCompletion
 * @summary Parses and validates the body of a completions request.
 * @param bytes - The body as received.
 * @returns The validated body or its validation errors.
 *
 * @example
 * parseCompletion(Buffer.from('{"model":"draft","prompt":"a van"}'))
 */
export function parseCompletion (bytes: Buffer): CompletionResult {
  let value: unknown
  try {
    value = JSON.parse(bytes.toString('utf8'))
  } catch (error) {
    return { kind: 'invalid', faults: [`not JSON: ${(error as Error).message}`] }
  }
  const checked = completionSchema.safeParse(value)
  if (checked.success) return { kind: 'valid', body: checked.data }
  return { kind: 'invalid', faults: checked.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`) }
}

/**
 * @name countPromptTokens
 * @summary Returns an upper estimate of a prompt's tokens, by counting its words.
 * @param prompt - The prompt.
 * @returns The number of words.
 *
 * @example
 * countPromptTokens('a red van') // 3
 */
export function countPromptTokens (prompt: string): number {
  return prompt.split(/\s+/).filter(word => word !== '').length
}
