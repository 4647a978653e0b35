/**
 * Renders a timeline as one self-contained HTML page: a lane (column) for each process and a row
 * for each event, in causal order from top to bottom.
 */
import { describeFields } from '../describeFields/index.js'
import type { LoggedEvent } from '../types.js'

/** Sizes of the page, in pixels. */
const LANE_WIDTH_PX = 150
const ROW_HEIGHT_PX = 22
const TIME_COLUMN_WIDTH_PX = 110
const HEADER_HEIGHT_PX = 40
const TEXT_COLUMN_WIDTH_PX = 1_400

/** Colours of the event marks by log level. */
const LEVEL_COLOURS: Record<string, string> = { debug: '#888', info: '#2266aa', warn: '#c77700', error: '#bb2222' }

/**
 * @name renderTimelineHtml
 * @summary An HTML page of merged events.
 * @param events - Events in causal order, as `mergeTimeline` gives them.
 * @param options - `title` of the page.
 * @returns HTML that loads no other file.
 *
 * @example
 * await writeFile('timeline.html', renderTimelineHtml(mergeTimeline(events), { title: 'request 7' }))
 */
export function renderTimelineHtml (events: readonly LoggedEvent[], options: { title: string }): string {
  const lanes = [...new Set(events.map(laneName))].sort()
  const widthPx = TIME_COLUMN_WIDTH_PX + lanes.length * LANE_WIDTH_PX + TEXT_COLUMN_WIDTH_PX
  const heightPx = HEADER_HEIGHT_PX + (events.length + 1) * ROW_HEIGHT_PX
  const title = escapeHtml(options.title)
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${title}</title>`,
    '<style>body{font:13px sans-serif;margin:16px}text{font:12px monospace}line{stroke:#ddd}</style></head><body>',
    `<h1>${title}</h1>`,
    `<svg xmlns="http://www.w3.org/2000/svg" width="${widthPx}" height="${heightPx}">`,
    ...lanes.map((lane, index) => renderLane(lane, index, heightPx)),
    ...events.map((event, row) => renderRow(event, row, { lanes, startMs: events[0]!.wallMs })),
    '</svg></body></html>',
    ''
  ].join('\n')
}

function laneName (event: LoggedEvent): string {
  return `${event.host}/${event.process}`
}

function laneCenterX (index: number): number {
  return TIME_COLUMN_WIDTH_PX + (index + 0.5) * LANE_WIDTH_PX
}

function renderLane (lane: string, index: number, heightPx: number): string {
  const x = laneCenterX(index)
  return `<text x="${x}" y="16" text-anchor="middle">${escapeHtml(lane)}</text><line x1="${x}" y1="24" x2="${x}" y2="${heightPx}"/>`
}

function renderRow (event: LoggedEvent, row: number, { lanes, startMs }: { lanes: string[], startMs: number }): string {
  const y = HEADER_HEIGHT_PX + (row + 0.5) * ROW_HEIGHT_PX
  const x = laneCenterX(lanes.indexOf(laneName(event)))
  const textX = TIME_COLUMN_WIDTH_PX + lanes.length * LANE_WIDTH_PX + 8
  const label = escapeHtml(`${event.number} ${event.text}`)
  const detail = escapeHtml(describeFields(event))
  return [
    `<text x="0" y="${y + 4}">+${Math.round(event.wallMs - startMs)} ms</text>`,
    `<circle cx="${x}" cy="${y}" r="5" fill="${LEVEL_COLOURS[event.level] ?? '#888'}"><title>${label} ${detail}</title></circle>`,
    `<text x="${textX}" y="${y + 4}">${label} <tspan fill="#777">${detail}</tspan></text>`
  ].join('')
}

function escapeHtml (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}
