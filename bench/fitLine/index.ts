/**
 * Fits a least-squares line through measured points.
 */

/** A fitted line. */
export interface Line {
  slope: number
  /** Value of the line at `x`. */
  at: (x: number) => number
}

/** Fits the line with the least squared error through points `[x, y]`. */
export function fitLine (points: Array<readonly [number, number]>): Line {
  const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanX = mean(points.map(([x]) => x))
  const meanY = mean(points.map(([, y]) => y))
  const covariance = mean(points.map(([x, y]) => (x - meanX) * (y - meanY)))
  const variance = mean(points.map(([x]) => (x - meanX) ** 2))
  const slope = covariance / variance
  return { slope, at: x => meanY + slope * (x - meanX) }
}
