/**
 * A simulated process: its timers, and its calls to other systems. A frozen process does nothing
 * until it is resumed; a killed one does nothing any more.
 */
import type { Runtime } from '../../src/runtime/types.js'

/** A process that can be frozen, resumed and killed. */
export interface SimulatedProcess {
  /** Timers that expire while the process is frozen run when it is resumed. */
  runtime: Runtime
  /** Runs work now, on resume if frozen, or never if killed. */
  run: (work: () => void) => void
  /** A client whose calls and results wait while the process is frozen and never continue once it is killed. */
  wrap: <T extends object>(client: T) => T
  state: () => 'running' | 'frozen' | 'killed'
  freeze: () => void
  resume: () => void
  kill: () => void
}

/**
 * @name createSimulatedProcess
 * @summary Creates a running process.
 * @param runtime - The runtime of the simulation.
 * @returns The process.
 *
 * @example
 * const process = createSimulatedProcess(runtime)
 * const store = process.wrap(memoryStore)
 */
export function createSimulatedProcess (runtime: Runtime): SimulatedProcess {
  let state: 'running' | 'frozen' | 'killed' = 'running'
  let pendingWork: Array<() => void> = []

  function run (work: () => void): void {
    if (state === 'running') work()
    if (state === 'frozen') pendingWork.push(work)
  }

  const untilRunning = (): Promise<void> => new Promise(resolve => run(resolve))

  function wrap<T extends object> (client: T): T {
    return new Proxy(client, {
      get (target, name) {
        const member = Reflect.get(target, name) as unknown
        if (typeof member !== 'function') return member
        return async (...args: unknown[]) => {
          await untilRunning()
          const result = await (member as (...args: unknown[]) => unknown).apply(target, args)
          await untilRunning()
          return result
        }
      }
    })
  }

  return {
    runtime: { ...runtime, setTimer: (delayMs, work) => runtime.setTimer(delayMs, () => run(work)) },
    run,
    wrap,
    state: () => state,
    freeze: () => { if (state === 'running') state = 'frozen' },
    resume () {
      if (state !== 'frozen') return
      state = 'running'
      const due = pendingWork
      pendingWork = []
      for (const work of due) run(work)
    },
    kill () {
      state = 'killed'
      pendingWork = []
    }
  }
}
