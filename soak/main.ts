/**
 * `npm run soak -- [--seeds N] [--from SEED] [--seconds S] [--hosts N] [--jobs N] [--regressions]`:
 * plays seeds of the fault soak and prints what each found. Logs of a seed with findings stay under
 * `target/soak`.
 */
import { readFileSync } from 'node:fs'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { z } from 'zod'
import { runSoak } from './runSoak/index.js'

/** Folder of settings and logs. */
const FOLDER = 'target/soak'

/** Seeds that ever failed, each with its cause. */
const REGRESSIONS_FILE = 'soak/regressions.json'

const regressionsSchema = z.array(z.object({ seed: z.number(), seconds: z.number(), cause: z.string() }))

/** Seeds that are drawn from the clock are below this. */
const CLOCK_SEEDS = 1_000_000

const countSchema = z.coerce.number().int().min(1)

class SoakCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'plays seeds of the fault soak', examples: [['fifty fresh seeds', 'soak --seeds 50'], ['one seed again', 'soak --from 77 --seeds 1']] })

  seeds = Option.String('--seeds', '1', { description: 'seeds to play' })
  from = Option.String('--from', { description: 'first seed; drawn from the clock by default' })
  seconds = Option.String('--seconds', '12', { description: 'time in which faults are started' })
  hosts = Option.String('--hosts', '5', { description: 'gateway processes' })
  jobs = Option.String('--jobs', '2', { description: 'seeds at once' })
  regressions = Option.Boolean('--regressions', false, { description: 'plays the seeds that ever failed' })
  kinds = Option.Array('--fault', { description: 'kind of fault; every kind by default' })

  override async execute (): Promise<number> {
    const [seeds, seconds, hostCount, jobs] = [this.seeds, this.seconds, this.hosts, this.jobs].map(text => countSchema.parse(text)) as [number, number, number, number]
    const first = this.from === undefined ? Date.now() % CLOCK_SEEDS : countSchema.parse(this.from)
    const fresh = Array.from({ length: seeds }, (_, index) => ({ seed: first + index, seconds }))
    const waiting = this.regressions ? regressionsSchema.parse(JSON.parse(readFileSync(REGRESSIONS_FILE, 'utf8'))) : fresh
    const played = waiting.length
    let failed = 0
    const work = async (): Promise<void> => {
      for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
        const { seed } = next
        const { findings, calls, statuses, faults } = await runSoak({ seed, durationMs: next.seconds * 1_000, hostCount, folder: FOLDER, ...(this.kinds === undefined ? {} : { kinds: this.kinds }) })
        this.context.stdout.write(`seed ${seed}: ${findings.length} findings, ${calls} calls, by status ${JSON.stringify(statuses)}, ${faults.length} faults\n`)
        if (findings.length === 0) continue
        failed++
        this.context.stdout.write(`  faults: ${faults.join(', ')}\n${findings.slice(0, 20).map(finding => `  ${finding}\n`).join('')}`)
      }
    }
    await Promise.all(Array.from({ length: jobs }, work))
    this.context.stdout.write(`${played - failed} of ${played} seeds without findings\n`)
    return failed === 0 ? 0 : 1
  }
}

const cli = new Cli({ binaryLabel: 'fault soak', binaryName: 'npm run soak --' })
cli.register(SoakCommand)
cli.register(Builtins.HelpCommand)
process.exit(await cli.run(process.argv.slice(2)))
