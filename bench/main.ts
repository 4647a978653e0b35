/**
 * `npm run --silent bench -- NAME [--json] [--seed N]`: runs `bench/benches/NAME.ts` and prints
 * one JSON line.
 */
import { parseArgs } from 'node:util'

/** Exports of every file in `bench/benches`. */
interface Bench {
  run: (options: { seed: number }) => Promise<Record<string, unknown>>
}

const { positionals, values } = parseArgs({
  allowPositionals: true,
  options: { json: { type: 'boolean', default: false }, seed: { type: 'string', default: '1' } }
})
const name = positionals[0] ?? ''
if (!/^[a-z-]+$/.test(name)) {
  console.error('usage: npm run --silent bench -- NAME [--json] [--seed N]')
  process.exit(1)
}
const bench = await import(`./benches/${name}.js`) as Bench
const seed = Number(values.seed)
const figures = await bench.run({ seed })
console.log(values.json ? JSON.stringify({ bench: name, seed, ...figures }) : figures)
process.exit(0)
