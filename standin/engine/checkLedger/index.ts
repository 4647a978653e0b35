/**
 * Compares the layers that engines ran with the tokens that callers received, for tests and
 * benchmarks.
 */
import type { LedgerRow } from '../types.js'

/** A token that a caller received. */
export interface DeliveredToken {
  /** Id of the sequence on the engines. */
  sequence: string
  attempt: number
  position: number
}

/**
 * @name checkLedger
 * @summary Finds tokens for which not every layer ran exactly once and in order.
 * @description The `run` rows of the attempt that produced a token must cover every layer exactly
 * once. `rebuild` rows restore KV cache and produce no token; their positions must come before the
 * first position that their attempt ran. Rows of attempts that delivered no token at a position are
 * ignored.
 * @param rows - Ledger rows of all engines.
 * @param delivered - Tokens that callers received.
 * @param options - Number of layers of the model.
 * @returns One line for each violation; an empty array if there are none.
 *
 * @example
 * t.deepEqual(checkLedger(rows, delivered, { layers: 8 }), [])
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
    if (coveredLayers !== layers) violations.push(`${key} ran layers ${runRows.map(row => `[${row.fromLayer},${row.toLayer})`).join(' ')}`)
  }
  for (const row of rebuildRows) {
    if (row.position >= (firstRunPosition.get(`${row.request}:${row.attempt}`) ?? Infinity)) violations.push(`${row.request}:${row.attempt}:${row.position} was rebuilt after it ran`)
  }
  return violations
}
