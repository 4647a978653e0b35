#!/usr/bin/env node
/**
 * The load tool.
 */
import http from 'node:http'
import { Cli, Command, Option } from 'clipanion'
import { streamCompletion } from '../load/streamCompletion/index.js'
import { createSystemRuntime } from '../runtime/createSystemRuntime/index.js'

class LoadCommand extends Command {
  static override usage = Command.Usage({ description: 'Send streamed requests and report what came back.' })

  address = Option.String('--address', { required: true, description: 'ip:port of a caller port' })
  token = Option.String('--token', { required: true, description: 'Token of a client account' })
  model = Option.String('--model', { required: true })
  requests = Option.String('--requests', '10')

  async execute (): Promise<number> {
    const { address, token, model } = this
    const options = { runtime: createSystemRuntime(), agent: new http.Agent({ keepAlive: true }) }
    const calls = Array.from({ length: Number(this.requests) }, (_, index) =>
      streamCompletion({ address, token, model, prompt: `prompt ${index}`, maxTokens: 16 }, options))
    const outcomes = await Promise.all(calls)
    const complete = outcomes.filter(outcome => outcome.kind === 'complete').length
    this.context.stdout.write(`${JSON.stringify({ requests: outcomes.length, complete })}\n`)
    options.agent.destroy()
    return complete === outcomes.length ? 0 : 1
  }
}

await Cli.from(LoadCommand, { binaryName: 'coltsfootlead-load', binaryLabel: 'coltsfootlead load tool', binaryVersion: '0.1.0' })
  .runExit(process.argv.slice(2))
