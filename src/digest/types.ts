/**
 * What hosts tell each other several times a second: how far each has read the store, its work
 * in progress and what it found out about targets.
 */
import { z } from 'zod'
import { layerRangeSchema } from '../fleet/types.js'
import type { LoadByTarget } from '../path/createLoadTracker/index.js'

/** Ends of the fields and entries of a load on the wire; names of targets and domains have neither. */
const FIELD_END = ','
const ENTRY_END = ';'

/** One host's digest. */
export const digestSchema = z.object({
  host: z.string(),
  /** Unix time of the process's start in milliseconds; a later one replaces an earlier one. */
  startedMs: z.number(),
  /** Raised with each digest of one process. */
  sequence: z.number(),
  failureDomain: z.string(),
  /** Port at which its state can be read. */
  statePort: z.number(),
  /** Configuration in force, -1 before the first. */
  configurationVersion: z.number(),
  targetsRevision: z.number(),
  /** Equal on hosts that know the same targets, whatever revision confirmed them last. */
  targetsFingerprint: z.string(),
  /** Whether it reads the targets from the store, and the store answers. */
  isStoreConnected: z.boolean(),
  /** Highest fencing number of the control lease that it held itself, 0 if none. */
  leaseFencing: z.number(),
  /** By target or link; one text on the wire, as hosts read dozens of digests a second and checks of each field would be most of that. */
  load: z.string().transform((text, context) => {
    const load = decodeLoad(text)
    if (load !== undefined) return load
    context.addIssue({ code: 'custom', message: 'expected targets with three numbers each' })
    return z.NEVER
  }),
  suspicions: z.array(z.object({ targetId: z.string(), ageMs: z.number(), leftMs: z.number(), isUnfit: z.boolean() })),
  seenLayers: z.array(z.object({ targetId: z.string(), bornMs: z.number(), layers: layerRangeSchema.nullable() })),
  /** Addresses of some of the hosts that it hears. */
  peers: z.array(z.string())
})

/** One host's digest. */
export type Digest = z.infer<typeof digestSchema>

/** A digest as it is sent. */
export function encodeDigest (digest: Digest): Buffer {
  const load = Object.entries(digest.load).map(([targetId, { tokenLayers, sequences, firstSequences }]) => [targetId, tokenLayers, sequences, firstSequences].join(FIELD_END))
  const encoded: z.input<typeof digestSchema> = { ...digest, load: load.join(ENTRY_END) }
  return Buffer.from(JSON.stringify(encoded))
}

/** `undefined` for text that is no load. */
function decodeLoad (text: string): LoadByTarget | undefined {
  const load: LoadByTarget = {}
  for (const entry of text === '' ? [] : text.split(ENTRY_END)) {
    const [targetId, ...numbers] = entry.split(FIELD_END)
    const [tokenLayers, sequences, firstSequences] = numbers.map(Number)
    if (numbers.length !== 3 || [tokenLayers, sequences, firstSequences].some(Number.isNaN)) return undefined
    load[targetId!] = { tokenLayers: tokenLayers!, sequences: sequences!, firstSequences: firstSequences! }
  }
  return load
}

/** Datagrams between hosts. */
export interface DigestSocket extends AsyncDisposable {
  send: (ip: string, bytes: Buffer) => void
  onMessage: (listener: (ip: string, bytes: Buffer) => void) => void
}
