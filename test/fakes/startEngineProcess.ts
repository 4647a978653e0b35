/**
 * Starts an engine that can be killed; see `engineProcess.ts`.
 */
import { fork } from 'node:child_process'
import { once } from 'node:events'

interface EngineMessage {
  address?: string
  begun?: string
}

/** An engine in a process of its own. */
export interface EngineProcess extends AsyncDisposable {
  /** `ip:port`. */
  address: string
  /** Resolves once the engine has begun this number of answers. */
  untilBegun: (count: number) => Promise<void>
  /** Ends the process at once; the kernel closes its connections. */
  kill: () => Promise<void>
  /** Resolves once the process has ended; its listening port may be the last that the kernel closes. */
  exited: Promise<unknown>
}

/** Starts the process; resolves once it listens. */
export async function startEngineProcess (): Promise<EngineProcess> {
  const child = fork(new URL('./engineProcess.ts', import.meta.url), { execArgv: ['--import=tsx'] })
  const exited = once(child, 'exit')
  const [{ address }] = await once(child, 'message') as [EngineMessage]
  let begun = 0
  let noteBegun = (): void => {}
  child.on('message', () => {
    begun++
    noteBegun()
  })
  const kill = async (): Promise<void> => {
    child.kill('SIGKILL')
    await exited
  }
  return {
    address: address!,
    untilBegun: count => new Promise(resolve => {
      noteBegun = () => { if (begun >= count) resolve() }
      noteBegun()
    }),
    kill,
    exited,
    [Symbol.asyncDispose]: kill
  }
}
