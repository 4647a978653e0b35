/**
 * Renders the summary of an overload as text: a table for each way of grouping, and a plot over time.
 */
import type { OverloadRow, OverloadSecond, OverloadSummary } from '../summarizeOverload/index.js'

/** Rows of a table before the rest is left to `--json`. */
const MAX_ROWS = 30

/** Width of the widest bar of the plot. */
const BAR_WIDTH = 40

/** Columns of the tables by title. */
const COLUMNS: Array<[title: string, show: (row: OverloadRow) => string]> = [
  ['offered', row => String(row.offered)],
  ['in time', row => String(row.inTime)],
  ['late', row => String(row.late)],
  ['answered, limits unknown', row => String(row.answered)],
  ['refused on arrival', row => String(row.refusedOnArrival)],
  ['refused after waiting', row => String(row.refusedAfterWaiting)],
  ['held ms p50', row => String(row.heldP50Ms ?? '-')],
  ['held ms p95', row => String(row.heldP95Ms ?? '-')],
  ['not allowed', row => String(row.notAllowed)],
  ['failed', row => String(row.failed)],
  ['broken off', row => String(row.brokenOff)],
  ['left', row => String(row.left)],
  ['left midway', row => String(row.leftMidway)]
]

/**
 * @name renderOverload
 * @summary Tables and plot of a summary.
 * @param summary - As `summarizeOverload` gives it.
 * @returns Text of several lines; the tables are Markdown.
 *
 * @example
 * renderOverload(summarizeOverload(events, limitsOf))
 */
export function renderOverload (summary: OverloadSummary): string {
  return [
    ...renderTable('route', [summary.total, ...summary.byRoute]),
    ...renderTable('client account', summary.byAccount),
    ...renderTable('failure domain', summary.byFailureDomain),
    ...renderTable('size of prompt', summary.byPromptSize),
    ...renderPlot(summary.seconds),
    ...(summary.lacking.length === 0 ? ['The log lacks nothing that the tables need.'] : ['The log lacks:', ...summary.lacking.map(text => `- ${text}`)])
  ].join('\n')
}

function renderTable (title: string, rows: readonly OverloadRow[]): string[] {
  if (rows.length === 0) return []
  const hidden = rows.length - MAX_ROWS
  return [
    `| ${[title, ...COLUMNS.map(([column]) => column)].join(' | ')} |`,
    `|${'---|'.repeat(COLUMNS.length + 1)}`,
    ...rows.slice(0, MAX_ROWS).map(row => `| ${[row.key, ...COLUMNS.map(([, show]) => show(row))].join(' | ')} |`),
    ...(hidden > 0 ? [`${hidden} more rows with --json`] : []),
    ''
  ]
}

/** A line for each second: its figures, and a bar of what ended with a mark at what arrived. */
function renderPlot (seconds: readonly OverloadSecond[]): string[] {
  const highest = Math.max(1, ...seconds.map(({ demand, answered, refused, left }) => Math.max(demand, answered + refused + left)))
  const widthOf = (count: number): number => Math.round(count / highest * BAR_WIDTH)
  return [
    'second  demand  answered  refused  left  queue  targets  # answered, x refused, . left, | demand',
    ...seconds.map(({ second, demand, answered, refused, left, queue, targets }) => {
      const bar = `${'#'.repeat(widthOf(answered))}${'x'.repeat(widthOf(refused))}${'.'.repeat(widthOf(left))}`.padEnd(BAR_WIDTH + 2)
      const mark = widthOf(demand)
      return `${pad(second, 6)}  ${pad(demand, 6)}  ${pad(answered, 8)}  ${pad(refused, 7)}  ${pad(left, 4)}  ${pad(queue ?? '-', 5)}  ${pad(targets, 7)}  ${bar.slice(0, mark)}|${bar.slice(mark + 1).trimEnd()}`
    }),
    ''
  ]
}

function pad (value: number | string, width: number): string {
  return String(value).padStart(width)
}
