/**
 * Digests: the messages that hosts send each other several times a second, with how far each has
 * read the store, its load and the state of targets that it observed.
 */
import { z } from 'zod'
import { layerRangeSchema } from '../fleet/types.js'
import type { LoadByTarget } from '../path/createLoadTracker/index.js'

/** Separators of the fields and entries of an encoded load; names of targets and domains contain neither. */
const FIELD_SEPARATOR = ','
const ENTRY_SEPARATOR = ';'

/** Schema of one host's digest. */
export const digestSchema = z.object({
  host: z.string(),
  /** Unix time of the process's start in milliseconds; digests of a later process replace those of an earlier one. */
  startedMs: z.number(),
  /** Incremented with each digest of one process. */
  sequence: z.number(),
  failureDomain: z.string(),
  /** Port at which peers read its state. */
  statePort: z.number(),
  /** Version of the configuration in force, -1 before the first. */
  configurationVersion: z.number(),
  targetsRevision: z.number(),
  /** Equal on hosts that know the same targets, whichever revision confirmed them last. */
  targetsFingerprint: z.string(),
  /** Whether the host reads the targets from the store, and the store responds. */
  isStoreConnected: z.boolean(),
  /** Fencing token of the control lease while the host may give orders, otherwise 0. */
  leaseFencing: z.number(),
  /** Load by target or link. Encoded as one string: hosts read dozens of digests a second, and validating each field would take most of that time. */
  load: z.string().transform((text, context) => {
    const load = decodeLoad(text)
    if (load !== undefined) return load
    context.addIssue({ code: 'custom', message: 'expected entries of a target and three numbers each' })
    return z.NEVER
  }),
  suspicions: z.array(z.object({ targetId: z.string(), ageMs: z.number(), leftMs: z.number(), isUnfit: z.boolean() })),
  seenLayers: z.array(z.object({ targetId: z.string(), bornMs: z.number(), layers: layerRangeSchema.nullable() })),
  /** Addresses of some of the hosts that it hears from. */
  peers: z.array(z.string())
})

/** One host's digest. */
export type Digest = z.infer<typeof digestSchema>

/** Encodes a digest for sending. */
export function encodeDigest (digest: Digest): Buffer {
  const load = Object.entries(digest.load).map(([targetId, { tokenLayers, sequences, firstSequences }]) => `${targetId}${FIELD_SEPARATOR}${tokenLayers}${FIELD_SEPARATOR}${sequences}${FIELD_SEPARATOR}${firstSequences}`)
  const encoded: z.input<typeof digestSchema> = { ...digest, load: load.join(ENTRY_SEPARATOR) }
  return Buffer.from(JSON.stringify(encoded))
}

/** Decodes a load; `undefined` if the text is malformed. */
function decodeLoad (text: string): LoadByTarget | undefined {
  const load: LoadByTarget = {}
  if (text === '') return load
  for (const entry of text.split(ENTRY_SEPARATOR)) {
    // Slices at the separators take a quarter of the time of splitting the entry into an array.
    const afterId = entry.indexOf(FIELD_SEPARATOR)
    const afterTokens = entry.indexOf(FIELD_SEPARATOR, afterId + 1)
    const afterSequences = entry.indexOf(FIELD_SEPARATOR, afterTokens + 1)
    if (afterId < 0 || afterTokens <= afterId || afterSequences <= afterTokens) return undefined
    const tokenLayers = Number(entry.slice(afterId + 1, afterTokens))
    const sequences = Number(entry.slice(afterTokens + 1, afterSequences))
    const firstSequences = Number(entry.slice(afterSequences + 1))
    if (Number.isNaN(tokenLayers + sequences + firstSequences)) return undefined
    load[entry.slice(0, afterId)] = { tokenLayers, sequences, firstSequences }
  }
  return load
}

/** Sends and receives datagrams between hosts. */
export interface DigestSocket extends AsyncDisposable {
  send: (ip: string, bytes: Buffer) => void
  onMessage: (listener: (ip: string, bytes: Buffer) => void) => void
}
