/**
 * Writes the generated tables of docs/OPERATING.md and all of docs/EVENTS.md from the code:
 * `npm run docs`.
 */
import { readFile, writeFile } from 'node:fs/promises'
import { renderTables, renderEvents, replaceTables } from '../test/docs/renderTables.js'

const page = await readFile('docs/OPERATING.md', 'utf8')
await writeFile('docs/OPERATING.md', replaceTables(page, renderTables()))
await writeFile('docs/EVENTS.md', renderEvents())
