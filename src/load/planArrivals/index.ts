/**
 * Plans the arrivals of a load from a seed, before the first request is sent.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { Arrival, LoadMix, LoadPart } from '../types.js'

/** Words that prompts are made of. */
const PROMPT_WORDS = ['van', 'taxi', 'rally', 'stripe', 'logo', 'thread', 'navy', 'satin', 'panel', 'badge']

/**
 * @name planArrivals
 * @summary Plans the arrivals of a Poisson process, each with a random part of the mix.
 * @param mix - Rate, duration and parts.
 * @param options - The seed; the same seed gives the same arrivals.
 * @returns The arrivals in order of their intended start.
 *
 * @example
 * const arrivals = planArrivals(mix, { seed: 1 })
 */
export function planArrivals (mix: LoadMix, options: { seed: number }): Arrival[] {
  const generator = xoroshiro128plus(options.seed)
  const random = (): number => uniformFloat64(generator)
  const randomInt = ({ least, most }: { least: number, most: number }): number => least + Math.floor(random() * (most - least + 1))
  const endMs = mix.durationS * 1_000
  const arrivals: Arrival[] = []
  let atMs = randomGapMs(mix, random)
  while (atMs < endMs) {
    const { account, token, model, promptWords, answerTokens, deadlineMs } = choosePart(mix.parts, random)
    const words = Array.from({ length: randomInt(promptWords) }, () => PROMPT_WORDS[Math.floor(random() * PROMPT_WORDS.length)]!)
    arrivals.push({
      atMs, account, token, model, prompt: words.join(' '), answerTokens: randomInt(answerTokens), ...(deadlineMs === undefined ? {} : { deadlineMs })
    })
    atMs += randomGapMs(mix, random)
  }
  return arrivals
}

function randomGapMs (mix: LoadMix, random: () => number): number {
  return -Math.log(1 - random()) * 1_000 / mix.requestsPerS
}

function choosePart (parts: LoadPart[], random: () => number): LoadPart {
  let remainingShare = random() * parts.reduce((sum, part) => sum + part.share, 0)
  for (const part of parts) {
    remainingShare -= part.share
    if (remainingShare < 0) return part
  }
  return parts.at(-1)!
}
