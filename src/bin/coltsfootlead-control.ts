#!/usr/bin/env node
/**
 * Entry point of the control daemon.
 */
import { Cli, Command } from 'clipanion'
import { DaemonCommand, type RunningDaemon } from '../cli/daemonCommand.js'
import { startControl } from '../control/startControl/index.js'
import { drainDaemon } from '../daemon/drainDaemon/index.js'
import type { Runtime } from '../runtime/types.js'
import type { DaemonSettings } from '../settings/types.js'

class ControlCommand extends DaemonCommand {
  static override usage = Command.Usage({
    description: 'Apply the configuration: hold the control lease and send orders to engines.',
    details: 'Exit code 0: stopped. 1: could not start. 2: shutdown cut short by a second signal or its deadline.'
  })

  protected async start (settings: DaemonSettings, options: { runtime: Runtime }): Promise<RunningDaemon> {
    const control = await startControl(settings, options)
    return {
      addresses: { operator: control.daemon.operatorUrl },
      drain: ({ signal }) => drainDaemon(control.daemon, { signal }),
      stopped: () => control.daemon.log.emit('processStopped'),
      [Symbol.asyncDispose]: () => control[Symbol.asyncDispose]()
    }
  }
}

await Cli.from(ControlCommand, { binaryName: 'coltsfootlead-control', binaryLabel: 'coltsfootlead control daemon', binaryVersion: '0.1.0' })
  .runExit(process.argv.slice(2))
