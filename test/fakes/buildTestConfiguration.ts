/**
 * Configurations of one model for tests.
 */
import { buildConfiguration } from '../../src/configuration/buildConfiguration/index.js'
import type { Configuration } from '../../src/configuration/types.js'
import type { Placement } from '../../src/ticket/types.js'

/** A configuration whose only model is `draft`. */
export function buildTestConfiguration (model: { layers: number, placement: Placement[] }): Configuration {
  const deadlines = { firstTokenMs: 400, betweenTokensMs: 200 }
  return buildConfiguration({ revision: 1, scopes: {}, nonce: 'n' }, new Map<string, unknown>([
    ['models/draft', { version: '1', deadlines, ...model }],
    ['timeouts', { connectMs: 100 }]
  ]))
}
