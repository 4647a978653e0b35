/**
 * Faults in the code that scenarios must detect. `npm run prove` applies each to a copy of the code.
 */

/** A code change that breaks a guarantee, and the scenarios that must fail with it. */
export interface SeededFault {
  /** What the product does wrong with this fault. */
  what: string
  file: string
  /** The original code; it occurs in the file exactly once. */
  sound: string
  faulty: string
  /** A second edit, for a fault that two independent checks prevent. */
  also?: { file: string, sound: string, faulty: string }
  /** Scenarios that must fail with this fault. */
  scenarios: string[]
}

export const FAULTS: SeededFault[] = [
  {
    what: 'an answer is abandoned when its first pipeline is lost',
    file: 'src/pipeline/runPipeline/index.ts',
    sound: 'if (result === undefined) continue',
    faulty: "if (result === undefined) return failAnswer('targetFailed', state, state.facts)",
    scenarios: ['stage-dies', 'engine-joins', 'pair-two-stages-die', 'pair-stage-dies-store-down']
  },
  {
    what: 'there is no deadline between tokens',
    file: 'src/pipeline/_lib/readTokens.ts',
    sound: '      if (frame.last) return finish({ kind: \'complete\' })\n      timer = startTimer(betweenTokensMs)',
    faulty: '      if (frame.last) return finish({ kind: \'complete\' })\n      timer = startTimer(1e9)',
    scenarios: ['stage-freezes', 'link-degrades', 'link-cut', 'connection-silent', 'pair-freeze-leaving', 'pair-silent-drain']
  },
  {
    what: 'the `Last-Event-ID` of a request is ignored',
    file: 'src/entry/answerCompletion/index.ts',
    sound: 'if (lastEventId !== undefined) {',
    faulty: 'if (lastEventId === null) {',
    scenarios: ['entry-dies', 'pair-entry-dies-store-down']
  },
  {
    what: 'a caller that disconnects is not noticed',
    file: 'src/entry/createCallerHandler/index.ts',
    sound: "response.once('close', () => controller.abort())",
    faulty: "response.once('close', () => {})",
    scenarios: ['caller-leaves']
  },
  {
    what: 'shutdown closes the port before the load balancer has noticed it',
    file: 'src/daemon/drainDaemon/index.ts',
    sound: '  daemon.drain()\n',
    faulty: '  daemon.drain()\n  stopAccepting()\n',
    scenarios: ['drain']
  },
  {
    what: 'shutdown does not wait for requests in flight',
    file: 'src/http/createOpenCalls/index.ts',
    sound: 'if (tasks.size === 0 || signal.aborted) return',
    faulty: 'if (tasks.size >= 0 || signal.aborted) return',
    scenarios: ['drain']
  },
  {
    what: 'the leaving state in the host list is ignored',
    file: 'src/target/createTargetDirectory/index.ts',
    sound: "if (current?.state === 'leaving')",
    faulty: "if (current?.state === 'live' && current.name === '')",
    scenarios: ['target-leaves']
  },
  {
    what: 'a lower revision is put into force and the store is not repaired',
    file: 'src/configuration/createConfigurationHolder/index.ts',
    sound: 'if (revision < current.head.revision) {',
    faulty: 'if (revision < 0) {',
    also: {
      file: 'src/configuration/watchConfiguration/index.ts',
      sound: 'if (revision >= inForce.head.revision) {',
      faulty: 'if (revision >= 0) {'
    },
    scenarios: ['store-restored']
  },
  {
    what: 'configurations received from peers are not put into force',
    file: 'src/peer/_lib/createConfigurationExchange.ts',
    sound: "holder.offer(configuration, 'peer')",
    faulty: 'configuration.head.scopes',
    scenarios: ['restart-in-outage', 'watches-silent']
  },
  {
    what: 'a ticket with a lower number than the one in force for a scope is accepted',
    file: 'src/ticket/submitTicket/_lib/moveHead.ts',
    sound: 'name => lastTicketOf(head, name) > number',
    faulty: 'name => lastTicketOf(head, name) > Infinity',
    scenarios: ['operators-race']
  },
  {
    what: 'a ticket whose acceptance was stored without an answer is not looked up',
    file: 'src/ticket/submitTicket/_lib/moveHead.ts',
    sound: 'const listed = head.accepted?.find(entry => entry.ticket === number)',
    faulty: 'const listed = head.accepted?.find(entry => entry.ticket === -number)',
    scenarios: ['ticket-write-late']
  },
  {
    what: 'a stored value is compared by object identity',
    file: 'src/ticket/submitTicket/_lib/recordTicket.ts',
    sound: 'if (digestJson(result.value) !== digestJson(value))',
    faulty: 'if (result.value !== value)',
    scenarios: ['ticket-answer-lost', 'pair-race-answers-lost']
  },
  {
    what: 'each request with the same key gets a record of its own',
    file: 'src/booking/bookOnce/index.ts',
    sound: 'JSON.stringify([account, service, key])',
    faulty: 'JSON.stringify([account, service, key, randomUUID()])',
    scenarios: ['booking-answer-lost', 'pair-booking-entry-dies', 'booking-store-answer-lost']
  },
  {
    what: 'a booking is sent although its intent may not be stored',
    file: 'src/booking/_lib/writeUntilConfirmed.ts',
    sound: "if (written.kind === 'written') return { kind: 'applied', version: written.version }",
    faulty: "if (written.kind !== 'conflict') return { kind: 'applied', version: 0 }",
    scenarios: ['store-down-serving']
  },
  {
    what: 'a refused connection counts as a call that may have run',
    file: 'src/booking/bookOnce/index.ts',
    sound: "if (verdict.kind === 'notRun') return",
    faulty: "if (verdict.kind === 'ran') return",
    scenarios: ['booking-service-unreachable']
  },
  {
    what: 'a request for which no pipeline can be chosen waits until its deadline',
    file: 'src/pipeline/runPipeline/index.ts',
    sound: "if (state.verdict.kind === 'notRun') return failAnswer('noPipeline'",
    faulty: "if (state.verdict.kind === 'ran') return failAnswer('noPipeline'",
    scenarios: ['no-chain-left']
  },
  {
    what: 'a host that is cut off from the store serves without a time limit',
    file: 'src/entry/createCallerHandler/index.ts',
    sound: 'if (isStale(daemon)) return',
    faulty: 'if (isStale(daemon) && false) return',
    scenarios: ['host-cut-off']
  }
]
