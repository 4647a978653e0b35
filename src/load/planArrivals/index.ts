/**
 * The arrivals of a load, fixed by its seed before the first request is sent.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { Arrival, LoadMix, LoadPart } from '../types.js'

/** Words of the prompts. */
const WORDS = ['van', 'taxi', 'rally', 'stripe', 'logo', 'thread', 'navy', 'satin', 'panel', 'badge']

/**
 * @name planArrivals
 * @summary Arrivals of a Poisson process over the mix.
 * @param mix - Rate, duration and parts.
 * @param options - The seed; the same seed gives the same arrivals.
 * @returns The arrivals in order of their intended start.
 *
 * @example
 * const arrivals = planArrivals(mix, { seed: 1 })
 */
export function planArrivals (mix: LoadMix, options: { seed: number }): Arrival[] {
  const generator = xoroshiro128plus(options.seed)
  const draw = (): number => uniformFloat64(generator)
  const drawInt = ({ least, most }: { least: number, most: number }): number => least + Math.floor(draw() * (most - least + 1))
  const endMs = mix.durationS * 1_000
  const arrivals: Arrival[] = []
  let atMs = drawGapMs(mix, draw)
  while (atMs < endMs) {
    const { account, token, model, promptWords, answerTokens, deadlineMs } = drawPart(mix.parts, draw)
    const words = Array.from({ length: drawInt(promptWords) }, () => WORDS[Math.floor(draw() * WORDS.length)]!)
    arrivals.push({
      atMs, account, token, model, prompt: words.join(' '), answerTokens: drawInt(answerTokens), ...(deadlineMs === undefined ? {} : { deadlineMs })
    })
    atMs += drawGapMs(mix, draw)
  }
  return arrivals
}

function drawGapMs (mix: LoadMix, draw: () => number): number {
  return -Math.log(1 - draw()) * 1_000 / mix.requestsPerS
}

function drawPart (parts: LoadPart[], draw: () => number): LoadPart {
  let left = draw() * parts.reduce((sum, part) => sum + part.share, 0)
  for (const part of parts) {
    left -= part.share
    if (left < 0) return part
  }
  return parts.at(-1)!
}
