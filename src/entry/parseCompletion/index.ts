/**
 * The completions form that model clients speak.
 */
import { z } from 'zod'

/** Body of `POST /v1/completions`. Unknown fields are accepted, as clients send many. */
export const completionSchema = z.object({
  model: z.string().min(1),
  prompt: z.string(),
  max_tokens: z.int().positive().default(16),
  stream: z.boolean().default(false),
  /** Time for the whole answer. */
  deadline_ms: z.int().positive().optional(),
  /** Tokens that the caller has, for a request with `Last-Event-ID` whose sequence no engine holds any more. */
  given: z.array(z.string()).optional()
})

/** A checked body. */
export type CompletionBody = z.infer<typeof completionSchema>

/** A body, or every fault of it. */
export type CompletionResult =
  | { kind: 'valid', body: CompletionBody }
  | { kind: 'invalid', faults: string[] }

/**
 * @name parseCompletion
 * @summary Reads the body of a completions request.
 * @param bytes - The body as received.
 * @returns The checked body or its faults.
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
 * @summary Upper estimate of a prompt's tokens, by words.
 * @param prompt - The prompt.
 * @returns The number of words.
 *
 * @example
 * countPromptTokens('a red van') // 3
 */
export function countPromptTokens (prompt: string): number {
  return prompt.split(/\s+/).filter(word => word !== '').length
}
