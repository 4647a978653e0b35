/**
 * Base of the daemons' command lines: settings, start, and shutdown by signal.
 */
import { Command, Option } from 'clipanion'
import { createSystemRuntime } from '../runtime/createSystemRuntime/index.js'
import { sleep } from '../runtime/sleep/index.js'
import type { Runtime } from '../runtime/types.js'
import { readSettings, SettingsError } from '../settings/readSettings/index.js'
import { daemonSettingsSchema, type DaemonSettings } from '../settings/types.js'
import { drainOnSignal } from './_lib/drainOnSignal.js'

/** Exit codes of the daemons. */
export const DAEMON_EXIT = {
  ok: 0,
  /** The settings are invalid, or a port could not be bound. */
  cannotStart: 1,
  /** The shutdown was cut short by a second signal or by its deadline. */
  cutShort: 2
} as const

/** Interval of a timer that does nothing but keep the process alive, since timers of the runtime do not. */
const KEEP_ALIVE_MS = 1 << 30

/** Longest wait for connections to close after a shutdown that was cut short. */
const DISPOSAL_TIMEOUT_MS = 2_000

/** A started daemon, as its command uses it. */
export interface RunningDaemon extends AsyncDisposable {
  /** Printed as one JSON line once the daemon listens. */
  addresses: Record<string, string>
  /** Resolves when nothing is in flight, or when the signal aborts. */
  drain: (options: { signal: AbortSignal }) => Promise<void>
  /** Logs that the process has stopped; called after the drain. */
  stopped: () => void
}

/** Base of the daemons' commands. */
export abstract class DaemonCommand extends Command {
  settings = Option.String('--settings', { description: 'Settings file in JSON with comments', required: true })
  set = Option.Array('--set', [], { description: 'Override one field, as path.to.field=value' })

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
    this.context.stdout.write(`${JSON.stringify({ listening: daemon.addresses })}\n`)
    return await runUntilStopped(daemon, { runtime, deadlineMs })
  }
}

async function runUntilStopped (daemon: RunningDaemon, options: { runtime: Runtime, deadlineMs: number }): Promise<number> {
  const keepAlive = setInterval(() => {}, KEEP_ALIVE_MS)
  const isComplete = await drainOnSignal(daemon, { ...options, signals: process })
  daemon.stopped()
  if (isComplete) await daemon[Symbol.asyncDispose]()
  else await Promise.race([daemon[Symbol.asyncDispose](), sleep(DISPOSAL_TIMEOUT_MS, options)])
  clearInterval(keepAlive)
  if (!isComplete) setImmediate(() => process.exit(DAEMON_EXIT.cutShort))
  return isComplete ? DAEMON_EXIT.ok : DAEMON_EXIT.cutShort
}
