#!/usr/bin/env node
/**
 * Entry point of the load generator.
 */
import { writeFile } from 'node:fs/promises'
import http from 'node:http'
import path from 'node:path'
import { Cli, Command, Option } from 'clipanion'
import { planArrivals } from '../load/planArrivals/index.js'
import { renderReport, renderText } from '../load/renderReport/index.js'
import { runLoad, type LoadProgress } from '../load/runLoad/index.js'
import { streamCompletion } from '../load/streamCompletion/index.js'
import { summarizeLoad } from '../load/summarizeLoad/index.js'
import { loadMixSchema, type LoadMix } from '../load/types.js'
import { createSystemRuntime } from '../runtime/createSystemRuntime/index.js'
import { readSettings, SettingsError } from '../settings/readSettings/index.js'

/** Exit codes of the load generator. */
const EXIT = {
  ok: 0,
  /** The load file or an option is invalid. */
  cannotStart: 1,
  /** An answer broke off or ended after its deadline; refusals do not count. */
  brokenAnswers: 2
} as const

class LoadCommand extends Command {
  static override usage = Command.Usage({
    description: 'Send streamed requests at planned times, however slow the answers are, and report the results.',
    details: 'Latency is measured from the intended start. Exit code 0: every request was answered completely and in time, or refused. ' +
      '1: the load file or an option is invalid. 2: an answer broke off or was late.',
    examples: [
      ['The studio mix against two entries', '$0 --address 127.0.0.1:8080 --address 127.0.0.1:8081 --load examples/loads/vehicle-wrap-studio.jsonc'],
      ['Twice the rate for ten seconds, as JSON', '$0 --address 127.0.0.1:8080 --load mix.jsonc --set requestsPerS=20 --set durationS=10 --json']
    ]
  })

  address = Option.Array('--address', { required: true, description: 'ip:port of a caller port; repeat it to use several in turn' })
  load = Option.String('--load', { required: true, description: 'Load file in JSON with comments' })
  set = Option.Array('--set', [], { description: 'Override one field, as path.to.field=value' })
  seed = Option.String('--seed', '1', { description: 'Seed of the arrivals' })
  json = Option.Boolean('--json', false, { description: 'Print the figures as one JSON line' })
  html = Option.String('--html', { description: 'File to write an HTML report with plots to' })
  quiet = Option.Boolean('--quiet', false, { description: 'Print no progress on standard error' })

  async execute (): Promise<number> {
    const seed = Number(this.seed)
    if (!Number.isInteger(seed)) return this.fail(`--seed ${this.seed}: expected a whole number`)
    let mix: LoadMix
    try {
      mix = await readSettings(this.load, loadMixSchema, { overrides: this.set })
    } catch (error) {
      if (error instanceof SettingsError) return this.fail(error.message)
      throw error
    }
    const records = await this.send(mix, seed)
    const summary = summarizeLoad(records, { seed, durationS: mix.durationS })
    this.context.stdout.write(this.json ? `${JSON.stringify(summary)}\n` : renderText(summary))
    if (this.html !== undefined) await writeFile(this.html, renderReport(summary, { title: path.basename(this.load) }))
    return summary.broken + summary.late === 0 ? EXIT.ok : EXIT.brokenAnswers
  }

  /** Sends the load; the first SIGINT stops sending, and the open requests are awaited. */
  private async send (mix: LoadMix, seed: number): Promise<ReturnType<typeof runLoad>> {
    const runtime = createSystemRuntime()
    const agent = new http.Agent({ keepAlive: true })
    const stop = new AbortController()
    const keepAlive = setInterval(() => {}, 1 << 30)
    process.once('SIGINT', () => stop.abort())
    const records = await runLoad(planArrivals(mix, { seed }), {
      addresses: this.address,
      send: call => streamCompletion(call, { runtime, agent }),
      runtime,
      signal: stop.signal,
      ...(this.quiet ? {} : { onProgress: progress => this.printProgress(progress) })
    })
    clearInterval(keepAlive)
    agent.destroy()
    return records
  }

  private printProgress ({ elapsedMs, started, ended, refused, tokens }: LoadProgress): void {
    const open = started - ended
    this.context.stderr.write(`${(elapsedMs / 1_000).toFixed(0)} s: ${started} started, ${open} open, ${refused} refused, ${tokens} tokens\n`)
  }

  private fail (message: string): number {
    this.context.stderr.write(`${message}\n`)
    return EXIT.cannotStart
  }
}

await Cli.from(LoadCommand, { binaryName: 'coltsfootlead-load', binaryLabel: 'coltsfootlead load tool', binaryVersion: '0.1.0' })
  .runExit(process.argv.slice(2))
