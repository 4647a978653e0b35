#!/usr/bin/env node
/**
 * Command that runs stand-ins for the external systems, for tests, benchmarks and the quick start.
 */
import { Cli, Command, Option } from 'clipanion'
import { readSettings, SettingsError } from '../../src/settings/readSettings/index.js'
import { planSchema } from '../plan/index.js'
import { startPlan } from '../startPlan/index.js'

class StandinCommand extends Command {
  static override usage = Command.Usage({
    description: 'Run the stand-ins of a plan until SIGTERM or SIGINT.',
    details: 'Prints one JSON line with the addresses once all of them listen. POST /faults on an address turns faults on and off.'
  })

  plan = Option.String('--plan', { description: 'Plan file in JSON with comments', required: true })
  set = Option.Array('--set', [], { description: 'Overrides one field, as path.to.field=value' })

  async execute (): Promise<number> {
    try {
      const plan = await readSettings(this.plan, planSchema, { overrides: this.set })
      await using started = await startPlan(plan)
      const { objectApiUrl, hostListUrl, targets } = started
      this.context.stdout.write(`${JSON.stringify({ listening: { objectApiUrl, hostListUrl, targets } })}\n`)
      await new Promise<void>(resolve => {
        process.once('SIGTERM', resolve)
        process.once('SIGINT', resolve)
      })
      return 0
    } catch (error) {
      this.context.stderr.write(`${error instanceof SettingsError ? error.message : (error as Error).stack}\n`)
      return 1
    }
  }
}

await Cli.from(StandinCommand, { binaryName: 'coltsfootlead-standin', binaryLabel: 'coltsfootlead stand-ins', binaryVersion: '0.1.0' })
  .runExit(process.argv.slice(2))
