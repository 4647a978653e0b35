/**
 * The check of what engines ran against what callers were given, for tests and benches.
 */
import type { LedgerRow } from '../types.js'

/** A token as its caller was given it. */
export interface DeliveredToken {
  /** Identity of the sequence on the engines. */
  sequence: string
  attempt: number
  position: number
}

/**
 * @name checkLedger
 * @summary Finds tokens for which the layers did not run once each and in order.
 * @description For each token the `run` rows of the attempt that gave it must cover every layer
 * once. `rebuild` rows restore KV cache and give no token; they must lie before the first position
 * that their attempt ran. Rows of attempts that gave no token at a position are not held against it.
 * @param rows - Rows of all engines.
 * @param delivered - Tokens that callers were given.
 * @param options - Number of layers of the model.
 * @returns One line for each violation; none when all is well.
 *
 * @example
 * t.deepEqual(checkLedger(rows, given, { layers: 8 }), [])
 */
export function checkLedger (rows: Iterable<LedgerRow>, delivered: Iterable<DeliveredToken>, { layers }: { layers: number }): string[] {
  const rowsByToken = new Map<string, LedgerRow[]>()
  const firstRunPosition = new Map<string, number>()
  const rebuildRows: LedgerRow[] = []
  for (const row of rows) {
    if (row.mode === 'rebuild') {
      rebuildRows.push(row)
      continue
    }
    const key = `${row.request}:${row.attempt}:${row.position}`
    rowsByToken.set(key, [...rowsByToken.get(key) ?? [], row])
    const attempt = `${row.request}:${row.attempt}`
    firstRunPosition.set(attempt, Math.min(firstRunPosition.get(attempt) ?? Infinity, row.position))
  }
  const violations: string[] = []
  for (const { sequence, attempt, position } of delivered) {
    const key = `${sequence}:${attempt}:${position}`
    const runRows = (rowsByToken.get(key) ?? []).sort((a, b) => a.fromLayer - b.fromLayer)
    const coveredLayers = runRows.reduce((layer, row) => row.fromLayer === layer ? row.toLayer : NaN, 0)
    if (coveredLayers !== layers) violations.push(`${key} ran ${runRows.map(row => `[${row.fromLayer},${row.toLayer})`).join(' ')}`)
  }
  for (const row of rebuildRows) {
    if (row.position >= (firstRunPosition.get(`${row.request}:${row.attempt}`) ?? Infinity)) violations.push(`${row.request}:${row.attempt}:${row.position} rebuilt after it ran`)
  }
  return violations
}
