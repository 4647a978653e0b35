/**
 * Renders the results of a load as text for a terminal and as a self-contained HTML page.
 */
import type { LoadCounts, LoadSummary, TimeSummary } from '../types.js'

/** Size of a plot and the margin inside it, in pixels. */
const PLOT_SIZE_PX = { width: 720, height: 180, margin: 40 } as const

const HTML_ESCAPES: Record<string, string> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' }

/**
 * @name renderText
 * @summary Renders the figures of a load as lines of text.
 * @param summary - The figures.
 * @returns Text that ends with a line feed.
 *
 * @example
 * process.stdout.write(renderText(summary))
 */
export function renderText (summary: LoadSummary): string {
  const lines = [
    `seed ${summary.seed}, ${summary.durationS} s, ${summary.tokensPerS.toFixed(0)} tokens/s`,
    describeCounts('all', summary),
    ...Object.entries(summary.accounts).map(([name, counts]) => describeCounts(name, counts)),
    ...Object.entries(summary.reasons).map(([reason, times]) => `refused with reason ${reason}: ${times}`)
  ]
  return `${lines.join('\n')}\n`
}

/**
 * @name renderReport
 * @summary Renders the figures of a load as an HTML page with plots.
 * @param summary - The figures.
 * @param options - Title of the page.
 * @returns The page.
 *
 * @example
 * await writeFile('report.html', renderReport(summary, { title: 'studio' }))
 */
export function renderReport (summary: LoadSummary, options: { title: string }): string {
  const title = escapeHtml(options.title)
  const { seconds } = summary
  const plots = [
    renderPlot('Tokens a second', seconds.map(second => second.tokens)),
    renderPlot('Requests started a second', seconds.map(second => second.started)),
    renderPlot('Refusals a second', seconds.map(second => second.refused)),
    renderPlot('First token, 95th percentile in ms, by intended start', seconds.map(second => second.firstTokenP95Ms))
  ]
  const rows = [['all', summary] as const, ...Object.entries(summary.accounts)].map(([name, counts]) => renderRow(name, counts))
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${title}</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}svg{display:block;margin:1em 0}</style></head>
<body><h1>${title}</h1>
<p>Seed ${summary.seed}, ${summary.durationS} s, ${summary.tokensPerS.toFixed(0)} tokens a second. Times count from the intended start.</p>
<table><tr><th>account</th><th>requests</th><th>complete</th><th>refused</th><th>broken</th><th>late</th><th>first token p50/p95/p99 ms</th><th>between tokens p50/p95/p99 ms</th></tr>
${rows.join('\n')}</table>
${plots.join('\n')}
</body></html>
`
}

function describeCounts (name: string, counts: LoadCounts): string {
  const { requests, complete, refused, broken, late, firstTokenMs, betweenTokensMs } = counts
  return `${name}: ${requests} requests, ${complete} complete, ${refused} refused, ${broken} broken, ${late} late; ` +
    `first token ${describeTimes(firstTokenMs)} ms, between tokens ${describeTimes(betweenTokensMs)} ms (p50/p95/p99)`
}

function describeTimes ({ p50, p95, p99 }: TimeSummary): string {
  return `${p50}/${p95}/${p99}`
}

function renderRow (name: string, counts: LoadCounts): string {
  const { requests, complete, refused, broken, late } = counts
  const cells = [escapeHtml(name), requests, complete, refused, broken, late, describeTimes(counts.firstTokenMs), describeTimes(counts.betweenTokensMs)]
  return `<tr>${cells.map(cell => `<td>${cell}</td>`).join('')}</tr>`
}

function renderPlot (label: string, values: number[]): string {
  const { width, height, margin } = PLOT_SIZE_PX
  const highest = Math.max(1, ...values)
  const x = (index: number): number => margin + index * (width - 2 * margin) / Math.max(1, values.length - 1)
  const y = (value: number): number => height - margin - value * (height - 2 * margin) / highest
  const points = values.map((value, index) => `${x(index).toFixed(1)},${y(value).toFixed(1)}`).join(' ')
  return `<svg role="img" aria-label="${label}" width="${width}" height="${height}" viewBox="0 0 ${width} ${height}">
<text x="${margin}" y="20" font-size="13">${label}</text>
<text x="${margin - 4}" y="${y(highest) + 4}" font-size="11" text-anchor="end">${Math.round(highest)}</text>
<text x="${margin - 4}" y="${y(0)}" font-size="11" text-anchor="end">0</text>
<text x="${width - margin}" y="${height - 20}" font-size="11" text-anchor="end">${values.length} s</text>
<path d="M${margin} ${y(highest)}V${y(0)}H${width - margin}" fill="none" stroke="#999"/>
<polyline points="${points}" fill="none" stroke="#06c" stroke-width="1.5"/></svg>`
}

function escapeHtml (text: string): string {
  return text.replace(/[&<>"]/g, character => HTML_ESCAPES[character]!)
}
