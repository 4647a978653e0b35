/**
 * `coltsfootlead placement`, which shows who holds which layers and what that serves.
 */
import { Command, Option } from 'clipanion'
import { request } from 'undici'
import { z } from 'zod'
import { EXIT } from '../_lib/operatorCommand.js'

const rangeSchema = z.object({ from: z.number(), to: z.number() })

const answerSchema = z.record(z.string(), z.array(z.object({
  failureDomain: z.string(),
  requestsPerSecond: z.number(),
  narrowest: rangeSchema,
  engines: z.record(z.string(), z.number()),
  ranges: z.array(rangeSchema.extend({ holders: z.record(z.string(), z.number()) }))
})))

export class PlacementCommand extends Command {
  static override paths = [['placement']]
  static override usage = Command.Usage({
    description: 'Show the layers that the engines of each failure domain hold, as a gateway knows them.',
    details: 'Asks the metrics port of any gateway. The rate is of usual requests per second through the narrowest layers of the domain.'
  })

  gateway = Option.String('--gateway', { description: 'ip:port of a gateway\'s metrics port', required: true })
  json = Option.Boolean('--json', false, { description: 'Print the answer as JSON' })

  async execute (): Promise<number> {
    try {
      const answer = await request(`http://${this.gateway}/placement`)
      const services = answerSchema.parse(await answer.body.json())
      this.context.stdout.write(`${this.json ? JSON.stringify(services) : renderPlacement(services)}\n`)
      return EXIT.ok
    } catch (error) {
      this.context.stderr.write(`${this.gateway}: ${(error as Error).message}\n`)
      return EXIT.unreachable
    }
  }
}

const renderCounts = (counts: Record<string, number>): string => Object.entries(counts).filter(([, count]) => count > 0).map(([name, count]) => `${count} ${name}`).join(', ')

/** One line for each failure domain, and one for each range of layers in it. */
function renderPlacement (services: z.infer<typeof answerSchema>): string {
  return Object.entries(services).flatMap(([service, domains]) => domains.flatMap(({ failureDomain, requestsPerSecond, narrowest, engines, ranges }) => [
    `${service} in ${failureDomain}: ${requestsPerSecond} requests/s, narrowest at layers ${narrowest.from}-${narrowest.to}; engines: ${renderCounts(engines)}`,
    ...ranges.map(({ from, to, holders }) => `  layers ${from}-${to}: ${renderCounts(holders)}`)
  ])).join('\n')
}
