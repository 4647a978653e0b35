#!/usr/bin/env node
/**
 * Entry point of the entry daemon.
 */
import { Cli, Command } from 'clipanion'
import { DaemonCommand, type RunningDaemon } from '../cli/daemonCommand.js'
import { startEntry } from '../entry/startEntry/index.js'
import type { Runtime } from '../runtime/types.js'
import type { DaemonSettings } from '../settings/types.js'

class EntryCommand extends DaemonCommand {
  static override usage = Command.Usage({
    description: 'Serve callers: admit and route requests, run pipelines, book orders.',
    details: 'Exit code 0: stopped, no request cut short. 1: could not start. 2: shutdown cut short by a second signal or its deadline.'
  })

  protected async start (settings: DaemonSettings, options: { runtime: Runtime }): Promise<RunningDaemon> {
    const entry = await startEntry(settings, options)
    return {
      addresses: { caller: entry.callerAddress, operator: entry.daemon.operatorUrl },
      drain: entry.drain,
      stopped: () => entry.daemon.log.emit('processStopped'),
      [Symbol.asyncDispose]: () => entry[Symbol.asyncDispose]()
    }
  }
}

await Cli.from(EntryCommand, { binaryName: 'coltsfootlead-entry', binaryLabel: 'coltsfootlead entry daemon', binaryVersion: '0.1.0' })
  .runExit(process.argv.slice(2))
