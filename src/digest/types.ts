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
  /** Port at which its state can be read. */
  statePort: z.number(),
  /** Configuration in force, -1 before the first. */
  configurationVersion: z.number(),
  targetsRevision: z.number(),
  isStoreConnected: z.boolean(),
  /** Highest fencing number of the control lease that it held itself, 0 if none. */
  leaseFencing: z.number(),
  load: z.record(z.string(), z.object({ tokenLayers: z.number(), sequences: z.number(), firstSequences: z.number() })),
  suspicions: z.array(z.object({ targetId: z.string(), ageMs: z.number(), leftMs: z.number(), isUnfit: z.boolean() })),
  seenLayers: z.array(z.object({ targetId: z.string(), bornMs: z.number(), layers: layerRangeSchema.nullable() })),
  /** Addresses of the hosts that it hears. */
  peers: z.array(z.string())
})

/** One host's digest. */
export type Digest = z.infer<typeof digestSchema>

/** Datagrams between hosts. */
export interface DigestSocket extends AsyncDisposable {
  send: (ip: string, bytes: Buffer) => void
  onMessage: (listener: (ip: string, bytes: Buffer) => void) => void
}
