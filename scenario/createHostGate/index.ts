/**
 * One host of a scenario: its clock, and everything that passes in and out of its processes. A
 * frozen host does nothing until it is resumed; a killed one does nothing ever.
 */
import type { Runtime } from '../../src/runtime/types.js'

/** A host's gate. */
export interface HostGate {
  /** Timers that fall due while the host is frozen run when it is resumed. */
  runtime: Runtime
  /** Runs work now, later, or never. */
  run: (work: () => void) => void
  /** The same port, whose calls and answers pass the gate. */
  wrap: <T extends object>(port: T) => T
  state: () => 'running' | 'frozen' | 'killed'
  freeze: () => void
  resume: () => void
  kill: () => void
}

/**
 * @name createHostGate
 * @summary A gate that is open.
 * @param runtime - The runtime of the scenario.
 * @returns The gate.
 *
 * @example
 * const gate = createHostGate(runtime)
 * const store = gate.wrap(memoryStore)
 */
export function createHostGate (runtime: Runtime): HostGate {
  let state: 'running' | 'frozen' | 'killed' = 'running'
  let waiting: Array<() => void> = []

  function run (work: () => void): void {
    if (state === 'running') work()
    if (state === 'frozen') waiting.push(work)
  }

  const pass = (): Promise<void> => new Promise(resolve => run(resolve))

  function wrap<T extends object> (port: T): T {
    return new Proxy(port, {
      get (target, name) {
        const member = Reflect.get(target, name) as unknown
        if (typeof member !== 'function') return member
        return async (...args: unknown[]) => {
          await pass()
          const result = await (member as (...args: unknown[]) => unknown).apply(target, args)
          await pass()
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
      const due = waiting
      waiting = []
      for (const work of due) run(work)
    },
    kill () {
      state = 'killed'
      waiting = []
    }
  }
}
