/**
 * What hosts tell each other several times a second: how far each has read the store, its work
 * in progress and what it found out about targets.
 */
import { z } from 'zod'
import { layerRangeSchema } from '../fleet/types.js'

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
  /** By target or link; on the wire a list, as the names of its fields would be most of the digest. */
  load: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])).transform(entries => Object.fromEntries(
    entries.map(([targetId, tokenLayers, sequences, firstSequences]) => [targetId, { tokenLayers, sequences, firstSequences }]))),
  suspicions: z.array(z.object({ targetId: z.string(), ageMs: z.number(), leftMs: z.number(), isUnfit: z.boolean() })),
  seenLayers: z.array(z.object({ targetId: z.string(), bornMs: z.number(), layers: layerRangeSchema.nullable() })),
  /** Addresses of some of the hosts that it hears. */
  peers: z.array(z.string())
})

/** One host's digest. */
export type Digest = z.infer<typeof digestSchema>

/** A digest as it is sent. */
export function encodeDigest (digest: Digest): Buffer {
  const load = Object.entries(digest.load).map(([targetId, { tokenLayers, sequences, firstSequences }]): [string, number, number, number] => [targetId, tokenLayers, sequences, firstSequences])
  const encoded: z.input<typeof digestSchema> = { ...digest, load }
  return Buffer.from(JSON.stringify(encoded))
}

/** Datagrams between hosts. */
export interface DigestSocket extends AsyncDisposable {
  send: (ip: string, bytes: Buffer) => void
  onMessage: (listener: (ip: string, bytes: Buffer) => void) => void
}
