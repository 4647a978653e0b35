/**
 * The log-normal distribution of lengths, cut at the largest length that is allowed.
 */

/** A log-normal distribution, by mean and standard deviation of the logarithm. */
export interface LogNormal {
  mu: number
  sigma: number
}

/** Standard normal quantile of 0.9. */
const Z_90 = 1.2816

/** Least and largest standard deviation that can be told from a mean and a 0.9 quantile; beyond the largest the quantile falls below the mean. */
const MIN_SIGMA = 0.05
const MAX_SIGMA = Z_90

/** Coefficients of the Chebyshev fit of the complementary error function, whose relative error is below 1.2e-7 everywhere. */
const ERFC_COEFFICIENTS = [-1.26551223, 1.00002368, 0.37409196, 0.09678418, -0.18628806, 0.27886807, -1.13520398, 1.48851587, -0.82215223, 0.17087277]

/** Probability of a standard normal value above z. */
function upperTail (z: number): number {
  const x = Math.abs(z) / Math.SQRT2
  const t = 1 / (1 + x / 2)
  const tail = t * Math.exp(-x * x + ERFC_COEFFICIENTS.reduceRight((sum, coefficient) => sum * t + coefficient, 0)) / 2
  return z >= 0 ? tail : 1 - tail
}

/** Share of the lengths above one. */
export function shareAbove ({ mu, sigma }: LogNormal, length: number): number {
  return length <= 0 ? 1 : upperTail((Math.log(length) - mu) / sigma)
}

/** Length that nine of ten stay below. */
export function quantile90 ({ mu, sigma }: LogNormal): number {
  return Math.exp(mu + Z_90 * sigma)
}

/** Mean length beyond `from` of those that are longer than it, with all lengths cut at `max`. */
export function meanExcess (distribution: LogNormal, from: number, max: number): number {
  const { mu, sigma } = distribution
  if (from >= max) return 0
  const zOf = (length: number): number => (Math.log(length) - mu) / sigma
  const longer = shareAbove(distribution, from)
  // Beyond the range of floating point nothing is known but that it goes on.
  if (longer < Number.MIN_VALUE / Number.EPSILON) return Math.min(max - from, from * sigma)
  const within = (from <= 0 ? 1 : upperTail(zOf(from) - sigma)) - (max === Infinity ? 0 : upperTail(zOf(max) - sigma))
  const atMax = max === Infinity ? 0 : max * shareAbove(distribution, max)
  return Math.min(max - from, Math.max(0, (Math.exp(mu + sigma * sigma / 2) * within + atMax) / longer - from))
}

/** The distribution with a mean and a 0.9 quantile. */
export function fitLogNormal (mean: number, high: number): LogNormal {
  const root = Z_90 * Z_90 - 2 * Math.log(Math.max(1, high / mean))
  const sigma = Math.min(MAX_SIGMA, Math.max(MIN_SIGMA, root <= 0 ? MAX_SIGMA : Z_90 - Math.sqrt(root)))
  return { mu: Math.log(mean) - sigma * sigma / 2, sigma }
}
