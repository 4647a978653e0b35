/**
 * Compares what was expected of answers with what they made, from the log lines of gateways:
 * `npx tsx scripts/measure-estimates.mts USUAL_TOKENS FILE...` prints one line for each route, for the
 * estimate that was used and for half of the caller's estimate and half of the model's usual output.
 * Each answer is held out, since it is expected before it is learned.
 */
import { readFile } from 'node:fs/promises'
import { parseArgs } from 'node:util'

interface Answer {
  route: string
  outputTokens: number
  expectedTokens: number
  hintedTokens: number
}

const { positionals: [usual, ...files] } = parseArgs({ allowPositionals: true })
const usualTokens = Number(usual)
const answers: Answer[] = []
for (const file of files) {
  for (const line of (await readFile(file, 'utf8')).split('\n')) {
    const json = /\{.*"gatewayAnswered".*\}/.exec(line)?.[0]
    if (json === undefined) continue
    const answer = JSON.parse(json)
    if (answer.outputTokens > 0 && answer.hintedTokens !== undefined) answers.push(answer)
  }
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
const round = (value: number): number => Math.round(value * 100) / 100

function describe (group: readonly Answer[], estimateOf: (answer: Answer) => number): Record<string, number> {
  const ratios = group.map(answer => Math.max(1, estimateOf(answer)) / answer.outputTokens)
  return {
    meanErrorTokens: round(mean(group.map(answer => Math.abs(estimateOf(answer) - answer.outputTokens)))),
    meanErrorFactor: round(Math.exp(mean(ratios.map(ratio => Math.abs(Math.log(ratio)))))),
    expectedForMade: round(mean(group.map(estimateOf)) / mean(group.map(answer => answer.outputTokens))),
    withinHalf: round(mean(ratios.map(ratio => ratio > 1 / 1.5 && ratio < 1.5 ? 1 : 0)))
  }
}

for (const route of [...new Set(answers.map(answer => answer.route)), 'all']) {
  const group = answers.filter(answer => route === 'all' || answer.route === route)
  const before = describe(group, answer => 0.5 * answer.hintedTokens + 0.5 * usualTokens)
  process.stdout.write(`${JSON.stringify({ route, answers: group.length, before, after: describe(group, answer => answer.expectedTokens) })}\n`)
}
