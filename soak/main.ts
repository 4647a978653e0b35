/**
 * `npm run soak -- [--seeds N] [--from SEED] [--seconds S] [--hosts N] [--jobs N] [--production COMMIT] [--regressions]`:
 * runs the soak test with one or more seeds and prints the findings of each. Logs of a seed with
 * findings are kept under `target/soak`.
 */
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { z } from 'zod'
import { runSoak } from './runSoak/index.js'

/** Folder for settings and logs. */
const FOLDER = 'target/soak'

/** File with the seeds that have failed before, each with its cause. */
const REGRESSIONS_FILE = 'soak/regressions.json'

const regressionsSchema = z.array(z.object({ seed: z.number(), seconds: z.number(), kinds: z.array(z.string()).optional(), cause: z.string() }))

/** Seeds taken from the clock are below this limit. */
const CLOCK_SEED_LIMIT = 1_000_000

const countSchema = z.coerce.number().int().min(1)

class SoakCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'runs the soak test with faults', examples: [['fifty new seeds', 'soak --seeds 50'], ['one seed again', 'soak --from 77 --seeds 1']] })

  seeds = Option.String('--seeds', '1', { description: 'number of seeds' })
  from = Option.String('--from', { description: 'first seed; taken from the clock by default' })
  seconds = Option.String('--seconds', '12', { description: 'time during which faults are started' })
  hosts = Option.String('--hosts', '5', { description: 'number of gateway processes' })
  jobs = Option.String('--jobs', '2', { description: 'number of seeds that run in parallel' })
  regressions = Option.Boolean('--regressions', false, { description: 'runs the seeds that have failed before' })
  production = Option.Array('--production', [], { description: 'commit whose build the hosts begin with; further ones take part as well' })
  kinds = Option.Array('--fault', { description: 'kind of fault; all kinds by default' })

  override async execute (): Promise<number> {
    const [seeds, seconds, hostCount, jobs] = [this.seeds, this.seconds, this.hosts, this.jobs].map(text => countSchema.parse(text)) as [number, number, number, number]
    const first = this.from === undefined ? Date.now() % CLOCK_SEED_LIMIT : countSchema.parse(this.from)
    const fresh: z.infer<typeof regressionsSchema> = Array.from({ length: seeds }, (_, index) => ({ seed: first + index, seconds, kinds: this.kinds, cause: '' }))
    const queue = this.regressions ? regressionsSchema.parse(JSON.parse(readFileSync(REGRESSIONS_FILE, 'utf8'))) : fresh
    const total = queue.length
    const earlierPrograms = this.production.map(commit => execFileSync('scripts/build-version.sh', [commit], { encoding: 'utf8', stdio: ['ignore', 'pipe', 'inherit'] }).trim())
    let failed = 0
    const runQueue = async (): Promise<void> => {
      for (let run = queue.shift(); run !== undefined; run = queue.shift()) {
        const { seed } = run
        const { findings, calls, statuses, faults, longestStallMs } = await runSoak({ seed, durationMs: run.seconds * 1_000, hostCount, earlierPrograms, folder: FOLDER, ...(run.kinds === undefined ? {} : { kinds: run.kinds }) })
        this.context.stdout.write(`seed ${seed}: ${findings.length} findings, ${calls} calls, by status ${JSON.stringify(statuses)}, ${faults.length} faults, longest stall ${longestStallMs} ms\n`)
        if (findings.length === 0) continue
        failed++
        this.context.stdout.write(`  faults: ${faults.join(', ')}\n${findings.slice(0, 20).map(finding => `  ${finding}\n`).join('')}`)
      }
    }
    await Promise.all(Array.from({ length: jobs }, runQueue))
    this.context.stdout.write(`${total - failed} of ${total} seeds without findings\n`)
    return failed === 0 ? 0 : 1
  }
}

const cli = new Cli({ binaryLabel: 'soak test', binaryName: 'npm run soak --' })
cli.register(SoakCommand)
cli.register(Builtins.HelpCommand)
process.exit(await cli.run(process.argv.slice(2)))
