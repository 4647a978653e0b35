/**
 * Base of the daemons' command lines: settings, start, and shutdown by signal.
 */
import { Command, Option } from 'clipanion'
import { createSystemRuntime } from '../runtime/createSystemRuntime/index.js'
import type { Runtime } from '../runtime/types.js'
import { readSettings, SettingsError } from '../settings/readSettings/index.js'
import { daemonSettingsSchema, type DaemonSettings } from '../settings/types.js'

/** Exit codes of the daemons. */
export const DAEMON_EXIT = {
  ok: 0,
  /** The settings do not hold, or a port could not be bound. */
  cannotStart: 1,
  /** Shutdown was cut short by a second signal or by its deadline. */
  cutShort: 2
} as const

/** A daemon as its command line sees it. */
export interface RunningDaemon extends AsyncDisposable {
  /** Printed as one JSON line once the daemon listens. */
  addresses: Record<string, string>
  /** Ends when nothing is in flight, or when the signal aborts. */
  drain: (options: { signal: AbortSignal }) => Promise<void>
  stopped: () => void
}

/** Base of the daemons' commands. */
export abstract class DaemonCommand extends Command {
  settings = Option.String('--settings', { description: 'Settings file in JSON with comments', required: true })
  set = Option.Array('--set', [], { description: 'Override of one field, as path.to.field=value' })

  protected abstract start (settings: DaemonSettings, options: { runtime: Runtime }): Promise<RunningDaemon>

  async execute (): Promise<number> {
    const runtime = createSystemRuntime()
    let daemon: RunningDaemon
    let deadlineMs: number
    try {
      const settings = await readSettings(this.settings, daemonSettingsSchema, { overrides: this.set })
      deadlineMs = settings.shutdown.deadlineMs
      daemon = await this.start(settings, { runtime })
    } catch (error) {
      this.context.stderr.write(`${error instanceof SettingsError ? error.message : `cannot start: ${(error as Error).message}`}\n`)
      return DAEMON_EXIT.cannotStart
    }
    await using running = daemon
    this.context.stdout.write(`${JSON.stringify({ listening: running.addresses })}\n`)
    return await drainOnSignal(running, { runtime, deadlineMs })
  }
}

/** Waits for the first signal, then drains until done, a second signal or the deadline. */
async function drainOnSignal (daemon: RunningDaemon, options: { runtime: Runtime, deadlineMs: number }): Promise<number> {
  const cut = new AbortController()
  const keepAlive = setInterval(() => {}, 1 << 30)
  await new Promise<void>(resolve => {
    let signals = 0
    const onSignal = (): void => {
      signals += 1
      if (signals > 1) cut.abort()
      resolve()
    }
    process.on('SIGTERM', onSignal)
    process.on('SIGINT', onSignal)
  })
  const timer = options.runtime.setTimer(options.deadlineMs, () => cut.abort())
  await daemon.drain({ signal: cut.signal })
  timer[Symbol.dispose]()
  daemon.stopped()
  clearInterval(keepAlive)
  return cut.signal.aborted ? DAEMON_EXIT.cutShort : DAEMON_EXIT.ok
}
