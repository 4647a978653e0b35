/**
 * `coltsfootlead where`, which asks a gateway where a request would go now; the gateway sends,
 * reserves, counts and learns nothing.
 */
import { Command, Option, UsageError } from 'clipanion'
import { request } from 'undici'
import type { ExplainedCandidate, ExplainedService } from '../../gateway/_lib/explainPlace.js'
import { EXIT } from '../_lib/operatorCommand.js'

/** Longest wait for the gateway's answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 5_000

/** Candidates that are shown without `--json`; a service may have hundreds of targets. */
const MAX_SHOWN = 20

interface Answer {
  route: string
  account: string | null
  services: ExplainedService[]
}

export class WhereCommand extends Command {
  static override paths = [['where']]
  static override usage = Command.Usage({
    description: 'Show where a request would go now, and why.',
    details: 'Asks the internal port of one gateway; nothing is sent to targets. Figures that are left out are the usual ones of the model. ' +
      'Exit code 0: explained. 1: route or account unknown, an option malformed, or the host not ready. 3: the gateway could not be reached.',
    examples: [['A stream of an account with 800 prompt tokens', '$0 --gateway 10.0.0.7:9464 --route briefs --account studio --prompt-tokens 800 --hint 120']]
  })

  gateway = Option.String('--gateway', '', { description: 'ip:port of a gateway\'s internal or metrics port; COLTSFOOTLEAD_GATEWAY otherwise', env: 'COLTSFOOTLEAD_GATEWAY' })
  route = Option.String('--route', { required: true, description: 'Name of the route' })
  account = Option.String('--account', { description: 'Name of the client account' })
  promptTokens = Option.String('--prompt-tokens', { description: 'Tokens of the prompt' })
  maxTokens = Option.String('--max-tokens', { description: 'Largest number of output tokens' })
  hint = Option.String('--hint', { description: 'The caller\'s estimate of the output, in tokens' })
  parts = Option.String('--parts', { description: 'Ids of the shared parts of the prompt, in order, separated by commas' })
  json = Option.Boolean('--json', false, { description: 'Print the answer as JSON' })

  async execute (): Promise<number> {
    if (this.gateway === '') throw new UsageError('pass --gateway or set COLTSFOOTLEAD_GATEWAY')
    const { route, account, promptTokens, maxTokens, hint, parts } = this
    const query = new URLSearchParams()
    for (const [name, value] of Object.entries({ route, account, promptTokens, maxTokens, hint, parts })) if (value !== undefined) query.set(name, value)
    let answer: { status: number, body: unknown }
    try {
      const response = await request(`http://${this.gateway.replace(/^http:\/\//, '')}/where?${query}`, { headersTimeout: ANSWER_TIMEOUT_MS, bodyTimeout: ANSWER_TIMEOUT_MS, reset: true })
      answer = { status: response.statusCode, body: await response.body.json() }
    } catch (error) {
      this.context.stderr.write(`${this.gateway}: ${(error as Error).message}\n`)
      return EXIT.unreachable
    }
    if (answer.status !== 200) {
      const { error = `status ${answer.status}` } = answer.body as { error?: string }
      this.context.stderr.write(`${error}\n`)
      return EXIT.refused
    }
    this.context.stdout.write(`${this.json ? JSON.stringify(answer.body) : (answer.body as Answer).services.map(renderService).join('\n\n')}\n`)
    return EXIT.ok
  }
}

function renderService (explained: ExplainedService): string {
  const { service, share, outcome, cause, queueLength, pauseLeftMs, expected, path, firstEventMs, candidates } = explained
  const { promptTokens, outputTokens, highOutputTokens, workMs, answers } = expected
  const cost = path?.[0]?.to === 0 || outputTokens === 0
    ? `expected work ${workMs === null ? 'unknown' : `${workMs} ms`}`
    : `${promptTokens} prompt tokens, expected output ${outputTokens} tokens, nine of ten below ${highOutputTokens}`
  return [
    `${service} (${Math.round(share * 100)}% of the route): ${outcome}${cause === undefined ? '' : `, ${cause}`}`,
    `  ${cost}, from ${answers} answers`,
    `  ${queueLength} queued${pauseLeftMs === null ? ', no pause ends' : pauseLeftMs > 0 ? `, first pause ends in ${pauseLeftMs} ms` : ''}`,
    ...(path ?? []).map(stage => `  goes to ${stage.target} ${stage.address} in ${stage.failureDomain}${stage.to === 0 ? '' : `, layers ${stage.from} to ${stage.to}`}`),
    ...(firstEventMs === undefined ? [] : [`  first event expected after ${firstEventMs} ms`]),
    ...candidates.slice(0, MAX_SHOWN).map(renderCandidate),
    ...(candidates.length > MAX_SHOWN ? [`  and ${candidates.length - MAX_SHOWN} more; --json shows all`] : [])
  ].join('\n')
}

function renderCandidate ({ target, failureDomain, kind, layers, requests, memoryUse, slowness, excluded }: ExplainedCandidate): string {
  return ['  -', target, failureDomain, ...(kind === undefined ? [] : [kind]), ...(layers === undefined ? [] : [`${layers.from}-${layers.to}`]), `${requests} requests`,
    ...(memoryUse === undefined ? [] : [`memory ${Math.round(memoryUse * 100)}%`]), ...(slowness === 1 || slowness === null ? [] : [`slower by ${slowness}`]), ...(excluded === undefined ? [] : [`excluded: ${excluded}`])].join(' ')
}
