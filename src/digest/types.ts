/**
 * Digests: the datagrams that neighboring hosts send each other several times a second. One has
 * the sender's own state, the summed load of the part of the fleet behind the sender, and what
 * was observed of targets and of prompts that crash them. It is a line of JSON followed by the load in binary form.
 */
import { z } from 'zod'
import { crashNewsSchema } from '../crash/types.js'
import { layerRangeSchema } from '../fleet/types.js'
import type { LoadByKey } from '../path/hashLoadKey/index.js'
import { decodeLoad, encodeLoad } from './_lib/loadCodec.js'
import { decodeMembers, encodeMembers } from './_lib/memberCodec.js'

/**
 * What the sender takes the receiver for: `up` its parent, `down` its child, `mesh` another root.
 * The others carry no load: `contact` asks for the members that the receiver knows, and `members`
 * is the answer, or tells a former neighbor that it is none any more.
 */
export const digestRoleSchema = z.enum(['up', 'down', 'mesh', 'contact', 'members'])

/** Observations of targets that each host passes on to all others. */
export const noticesSchema = z.object({
  suspicions: z.array(z.object({ targetId: z.string(), ageMs: z.number(), leftMs: z.number(), isUnfit: z.boolean() })),
  seenLayers: z.array(z.object({ targetId: z.string(), bornMs: z.number(), layers: layerRangeSchema.nullable() })),
  /** Rates that targets say they take; absent in digests of earlier versions. */
  limits: z.array(z.object({ targetId: z.string(), limitPerS: z.number().min(0).nullable(), ageMs: z.number().min(0) })).default([]),
  /** Targets that said that they leave; absent in digests of earlier versions. */
  leaving: z.array(z.object({ targetId: z.string(), bornMs: z.number() })).default([])
})

/** State of the sending host. */
const hostStateSchema = z.object({
  host: z.string(),
  failureDomain: z.string(),
  /** Unix time of the process's start in milliseconds; digests of a later process replace those of an earlier one. */
  startedMs: z.number(),
  /** Port at which peers read its state. */
  statePort: z.number(),
  /** Version of the configuration in force, -1 before the first. */
  configurationVersion: z.number(),
  /** Era of the store to which the revision belongs; absent if the store does not say it, and in digests of earlier versions. */
  targetsEra: z.int().min(0).optional(),
  targetsRevision: z.number(),
  /** Equal on hosts that know the same targets, whichever revision confirmed them last. */
  targetsFingerprint: z.string(),
  /** Whether the host reads the targets from the store, and the store responds. */
  isStoreConnected: z.boolean(),
  /** Fencing token of the control lease while the host may give orders, otherwise 0. */
  leaseFencing: z.number(),
  /** Whether the host should not be asked for connections to targets: it has lost links to some itself, or shuts down; absent in digests of earlier versions. */
  isImpaired: z.boolean().default(false)
})

const headerSchema = hostStateSchema.extend({
  /** Incremented with each digest of one process. */
  sequence: z.number(),
  role: digestRoleSchema,
  /** Number of hosts behind the sender, itself included. */
  hostCount: z.number(),
  /** Mean age of what the sender knows of those hosts, in milliseconds. */
  loadAgeMs: z.number(),
  /** The first of those hosts that are connected to the store, with the time since it said so, in milliseconds; `null` if none was lately. */
  reader: z.object({ ip: z.string(), depth: z.number(), ageMs: z.number() }).nullable(),
  notices: noticesSchema,
  /** Evidence on prompts that crash engines; absent in digests of earlier versions. */
  crashes: crashNewsSchema.default({ sightings: [], answered: [] }),
  members: z.string().transform((text, context) => {
    const members = decodeMembers(text)
    if (members !== undefined) return members
    context.addIssue({ code: 'custom', message: 'expected ages and addresses by failure domain' })
    return z.NEVER
  })
})

/** How a digest's sender sees its receiver. */
export type DigestRole = z.infer<typeof digestRoleSchema>
/** Observations of targets. */
export type Notices = z.infer<typeof noticesSchema>
/** State of the sending host. */
export type HostState = z.infer<typeof hostStateSchema>
/** One digest; the load is that of the hosts behind the sender. */
export type Digest = z.infer<typeof headerSchema> & { load: LoadByKey }

/** Separates the header from the load. */
const LINE_FEED = 0x0a

/** Encodes a digest for sending. */
export function encodeDigest ({ load, members, ...header }: Digest): Buffer {
  const encoded: z.input<typeof headerSchema> = { ...header, members: encodeMembers(members) }
  return Buffer.concat([Buffer.from(`${JSON.stringify(encoded)}\n`), encodeLoad(load)])
}

/** Decodes a digest; `undefined` if it is malformed, truncated or of another format. */
export function decodeDigest (bytes: Buffer): Digest | undefined {
  const end = bytes.indexOf(LINE_FEED)
  if (end < 0) return undefined
  const header = parseHeader(bytes.toString('utf8', 0, end))
  const load = decodeLoad(bytes.subarray(end + 1))
  return header === undefined || load === undefined ? undefined : { ...header, load }
}

function parseHeader (text: string): z.infer<typeof headerSchema> | undefined {
  try {
    return headerSchema.safeParse(JSON.parse(text)).data
  } catch {
    // Any host or program can send to the port; the caller logs what cannot be read.
    return undefined
  }
}

/** Sends and receives datagrams between hosts. */
export interface DigestSocket extends AsyncDisposable {
  send: (ip: string, bytes: Buffer) => void
  onMessage: (listener: (ip: string, bytes: Buffer) => void) => void
}
