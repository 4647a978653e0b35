/**
 * Keeps what is held to crash engines in the store, for the case that all hosts end at once: as long as
 * one of them runs, it tells the others. Hosts that sent requests which took part in the crashes write
 * when the verdicts change, unless another one has; hosts that read the store for the others read it once after their start.
 */
import { z } from 'zod'
import type { CrashEvidence } from '../../crash/createCrashEvidence/index.js'
import { crashSightingSchema, type CrashSighting } from '../../crash/types.js'
import type { EventLog } from '../../event/types.js'
import type { ObjectStore, WriteCondition } from '../../objectApi/types.js'
import { repeatTask } from '../../runtime/repeatTask/index.js'
import type { Runtime } from '../../runtime/types.js'

/** Key of the object with the evidence. */
const EVIDENCE_KEY = 'crashes/evidence'

/** Interval at which changes are looked for, and a failed call is repeated, in milliseconds. */
const INTERVAL_MS = 500

/** Sightings with the time of the crash in Unix milliseconds. */
const storedSightingSchema = crashSightingSchema.omit({ ageMs: true }).extend({ crashedMs: z.number() })
const storedSchema = z.object({ key: z.string(), sightings: z.array(storedSightingSchema) })

interface KeepOptions {
  store: Pick<ObjectStore, 'read' | 'write'>
  evidence: Pick<CrashEvidence, 'verdicts' | 'applyNews'>
  /** Whether this host reads the store for the others. */
  isReader: () => boolean
  runtime: Runtime
  log: EventLog
  signal: AbortSignal
}

/** Starts to keep the evidence, until the signal aborts. */
export function keepCrashEvidence ({ store, evidence, isReader, runtime, log, signal }: KeepOptions): void {
  let hasRead = false
  /** Whether the object holds evidence that this host has written or read, so that it also removes it. */
  let isResponsible = false
  let storedKey = ''
  /** Whether the verdicts that follow from what was read are still to come; these are stored already. */
  let isAwaitingRead = false

  async function readOnce (): Promise<void> {
    const read = await store.read(EVIDENCE_KEY)
    if (read.kind === 'unavailable') return log.emit('storeUnavailable', { prefix: EVIDENCE_KEY, cause: read.cause })
    hasRead = true
    if (read.kind === 'absent') return
    const parsed = storedSchema.safeParse(read.object.value)
    if (!parsed.success) return log.emit('storeUnavailable', { prefix: EVIDENCE_KEY, cause: 'evidence could not be read' })
    // Clocks of hosts differ and may be set.
    const sightings = parsed.data.sightings.map(({ crashedMs, ...sighting }) => ({ ...sighting, ageMs: Math.max(0, runtime.nowMs() - crashedMs) }))
    isResponsible = sightings.length > 0
    isAwaitingRead = isResponsible
    if (evidence.applyNews({ sightings, answered: [] })) log.emit('crashEvidenceRead', { sightings: sightings.length })
  }

  async function writeChange (): Promise<void> {
    const { key, isOwn, sightings } = evidence.verdicts()
    if (isAwaitingRead && key !== '' && !isOwn) storedKey = key
    if (key !== '') isAwaitingRead = false
    if (key === storedKey || !(isOwn || isResponsible)) return
    const read = await store.read(EVIDENCE_KEY)
    if (read.kind === 'unavailable') return
    const isWritten = read.kind === 'found' && storedSchema.safeParse(read.object.value).data?.key === key
    if (!isWritten && !await write(read.kind === 'absent' ? { ifAbsent: true } : { ifVersion: read.object.version }, key, sightings)) return
    storedKey = key
    isResponsible = key !== ''
  }

  async function write (condition: WriteCondition, key: string, sightings: readonly CrashSighting[]): Promise<boolean> {
    const nowMs = runtime.nowMs()
    const value: z.infer<typeof storedSchema> = { key, sightings: sightings.map(({ ageMs, ...sighting }) => ({ ...sighting, crashedMs: Math.round(nowMs - ageMs) })) }
    const written = await store.write(EVIDENCE_KEY, value, condition)
    if (written.kind === 'written') log.emit('crashEvidenceWritten', { sightings: sightings.length })
    return written.kind === 'written'
  }

  repeatTask(async () => {
    if (!hasRead && isReader()) await readOnce()
    await writeChange()
  }, { intervalMs: INTERVAL_MS, task: 'crashEvidence', runtime, log, signal })
}
