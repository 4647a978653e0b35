/**
 * Observes the pace of one stream, from which slow engines are found.
 */
import { expectEventMs } from '../../cost/expectEventMs/index.js'
import type { Path, Service } from '../../fleet/types.js'
import type { GatewayContext } from '../types.js'

/** Least time of an observation, in milliseconds; several events that arrive together say little by themselves. */
const MIN_OBSERVED_MS = 100

/** Observer of one stream. */
export interface PaceObserver {
  /** Records that events up to an id have arrived; what the caller held up says nothing of the engines. */
  note: (lastEventId: number | undefined, isHeldUp: boolean) => void
}

/** Creates the observer of a stream that has no events yet. */
export function createPaceObserver ({ model }: Service, pathOf: () => Path, { slowdowns, loadTracker, runtime }: Pick<GatewayContext, 'slowdowns' | 'loadTracker' | 'runtime'>): PaceObserver {
  let start: { lastEventId: number, atMs: number, path: Path } | undefined
  return {
    note (lastEventId, isHeldUp) {
      // Without the tokens of an event the model says nothing of its time.
      if (model?.tokensPerEvent === undefined || lastEventId === undefined) return
      const [nowMs, path] = [runtime.monotonicMs(), pathOf()]
      const tookMs = start === undefined ? 0 : nowMs - start.atMs
      const isComparable = start !== undefined && start.path === path && !isHeldUp
      if (isComparable && tookMs < MIN_OBSERVED_MS) return
      if (isComparable) {
        const events = lastEventId - start!.lastEventId
        slowdowns.note(expectEventMs(path, model, loadTracker.loadOf).map(({ targetId, expectedMs }) => ({ targetId, expectedMs: expectedMs * events })), tookMs)
      }
      start = { lastEventId, atMs: nowMs, path }
    }
  }
}
