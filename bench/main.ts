/**
 * `npm run --silent bench -- NAME [ARG...] [--json] [--seed N]`: runs `bench/benches/NAME.ts` and
 * prints one JSON line.
 */
import { parseArgs } from 'node:util'
import { BenchInputError } from './_lib/inputError.js'

/** Exports of every file in `bench/benches`. */
interface Bench {
  run: (options: { seed: number, args: readonly string[] }) => Promise<Record<string, unknown>>
  /** Text for operators, printed without `--json`. */
  render?: (figures: Record<string, unknown>) => string
}

const { positionals, values } = parseArgs({
  allowPositionals: true,
  options: { json: { type: 'boolean', default: false }, seed: { type: 'string', default: '1' } }
})
const [name = '', ...args] = positionals
if (!/^[a-z-]+$/.test(name)) {
  console.error('usage: npm run --silent bench -- NAME [ARG...] [--json] [--seed N]')
  process.exit(1)
}
const bench = await import(`./benches/${name}.js`) as Bench
const seed = Number(values.seed)
try {
  const figures = await bench.run({ seed, args })
  console.log(values.json ? JSON.stringify({ bench: name, seed, ...figures }) : bench.render?.(figures) ?? figures)
  process.exit(0)
} catch (error) {
  if (!(error instanceof BenchInputError)) throw error
  console.error(error.message)
  process.exit(1)
}
