/**
 * Faults in the code that scenarios must detect. `npm run prove` applies each to a copy of the code.
 */

/** A code change that breaks a guarantee, and the scenarios that must fail with it. */
export interface SeededFault {
  /** What the product does wrong with this fault. */
  what: string
  file: string
  /** The original code; it occurs in the file exactly once. */
  original: string
  replacement: string
  /** A second edit, for a fault that two independent checks prevent. */
  secondEdit?: { file: string, original: string, replacement: string }
  /** Scenarios that must fail with this fault. */
  scenarios: string[]
}

export const SEEDED_FAULTS: SeededFault[] = [
  {
    what: 'an answer is abandoned when its first pipeline is lost',
    file: 'src/pipeline/runPipeline/index.ts',
    original: 'if (result === undefined) continue',
    replacement: "if (result === undefined) return failAnswer('targetFailed', state, state.facts)",
    scenarios: ['stage-dies', 'engine-joins', 'pair-two-stages-die', 'pair-stage-dies-store-down']
  },
  {
    what: 'there is no deadline between tokens',
    file: 'src/pipeline/_lib/readTokens.ts',
    original: '      if (frame.last) return finish({ kind: \'complete\' })\n      timer = startTimer(betweenTokensMs)',
    replacement: '      if (frame.last) return finish({ kind: \'complete\' })\n      timer = startTimer(1e9)',
    scenarios: ['stage-freezes', 'link-degrades', 'link-cut', 'connection-silent', 'pair-freeze-leaving', 'pair-silent-drain']
  },
  {
    what: 'the `Last-Event-ID` of a request is ignored',
    file: 'src/entry/answerCompletion/index.ts',
    original: 'if (lastEventId !== undefined) {',
    replacement: 'if (lastEventId === null) {',
    scenarios: ['entry-dies', 'pair-entry-dies-store-down']
  },
  {
    what: 'a caller that disconnects is not noticed',
    file: 'src/entry/createCallerHandler/index.ts',
    original: 'watchCaller(response, () => controller.abort())',
    replacement: 'watchCaller(response, () => {})',
    scenarios: ['caller-leaves']
  },
  {
    what: 'shutdown closes the port before the load balancer has noticed it',
    file: 'src/daemon/drainDaemon/index.ts',
    original: '  daemon.drain()\n',
    replacement: '  daemon.drain()\n  stopAccepting()\n',
    scenarios: ['drain']
  },
  {
    what: 'shutdown does not wait for requests in flight',
    file: 'src/http/createOpenCalls/index.ts',
    original: 'if (tasks.size === 0 || signal.aborted) return',
    replacement: 'if (tasks.size >= 0 || signal.aborted) return',
    scenarios: ['drain']
  },
  {
    what: 'the leaving state in the host list is ignored',
    file: 'src/target/createTargetDirectory/index.ts',
    original: "if (current?.state === 'leaving')",
    replacement: "if (current?.state === 'live' && current.name === '')",
    scenarios: ['target-leaves']
  },
  {
    what: 'a lower revision is put into force and the store is not repaired',
    file: 'src/configuration/createConfigurationHolder/index.ts',
    original: 'if (revision < current.head.revision) {',
    replacement: 'if (revision < 0) {',
    secondEdit: {
      file: 'src/configuration/watchConfiguration/index.ts',
      original: 'if (revision >= inForce.head.revision) {',
      replacement: 'if (revision >= 0) {'
    },
    scenarios: ['store-restored']
  },
  {
    what: 'configurations received from peers are not put into force',
    file: 'src/peer/_lib/createConfigurationExchange.ts',
    original: "holder.applyIfNewer(configuration, 'peer')",
    replacement: 'configuration.head.scopes',
    scenarios: ['restart-in-outage', 'watches-silent']
  },
  {
    what: 'a ticket with a lower number than the one in force for a scope is accepted',
    file: 'src/ticket/submitTicket/_lib/updateHead.ts',
    original: 'name => lastTicketOf(head, name) > number',
    replacement: 'name => lastTicketOf(head, name) > Infinity',
    scenarios: ['operators-race']
  },
  {
    what: 'a ticket whose acceptance was stored without an answer is not looked up',
    file: 'src/ticket/submitTicket/_lib/updateHead.ts',
    original: 'const listed = head.accepted?.find(entry => entry.ticket === number)',
    replacement: 'const listed = head.accepted?.find(entry => entry.ticket === -number)',
    scenarios: ['ticket-write-late']
  },
  {
    what: 'a stored value is compared by object identity',
    file: 'src/ticket/submitTicket/_lib/recordTicket.ts',
    original: 'if (digestJson(result.value) !== digestJson(value))',
    replacement: 'if (result.value !== value)',
    scenarios: ['ticket-answer-lost', 'pair-race-answers-lost']
  },
  {
    what: 'each request with the same key gets a record of its own',
    file: 'src/booking/bookOnce/index.ts',
    original: 'JSON.stringify([account, service, key])',
    replacement: 'JSON.stringify([account, service, key, randomUUID()])',
    scenarios: ['booking-answer-lost', 'pair-booking-entry-dies', 'booking-store-answer-lost']
  },
  {
    what: 'a booking is sent although its intent may not be stored',
    file: 'src/booking/_lib/writeUntilConfirmed.ts',
    original: "if (written.kind === 'written') return { kind: 'applied', version: written.version }",
    replacement: "if (written.kind !== 'conflict') return { kind: 'applied', version: 0 }",
    scenarios: ['store-down-serving']
  },
  {
    what: 'a refused connection counts as a call that may have run',
    file: 'src/booking/bookOnce/index.ts',
    original: "if (verdict.kind === 'notRun') return",
    replacement: "if (verdict.kind === 'ran') return",
    scenarios: ['booking-service-unreachable']
  },
  {
    what: 'a request for which no pipeline can be chosen waits until its deadline',
    file: 'src/pipeline/runPipeline/index.ts',
    original: "if (state.verdict.kind === 'notRun') return failAnswer('noPipeline'",
    replacement: "if (state.verdict.kind === 'ran') return failAnswer('noPipeline'",
    scenarios: ['no-chain-left']
  },
  {
    what: 'a host that is cut off from the store serves without a time limit',
    file: 'src/entry/createCallerHandler/index.ts',
    original: 'if (isStale(daemon)) return',
    replacement: 'if (isStale(daemon) && false) return',
    scenarios: ['host-cut-off']
  }
]
