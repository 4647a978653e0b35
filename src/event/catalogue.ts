/**
 * Every event that a process may log, by name. Numbers are never reused; docs/EVENTS.md lists
 * them for operators, and a test checks that page against this file.
 */

/** Severity of an event, as winston names it. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error'

/** One row of the catalogue. */
export interface EventDefinition {
  number: number
  level: EventLevel
  text: string
}

/** The catalogue. 1xxx process, 2xxx tickets and configuration, 3xxx requests, 4xxx bookings, 5xxx members and peers, 6xxx targets and orders, 7xxx store. */
export const EVENTS = {
  processStarted: { number: 1001, level: 'info', text: 'process started and listening' },
  processReady: { number: 1002, level: 'info', text: 'process ready to serve' },
  processDraining: { number: 1003, level: 'info', text: 'shutdown requested; draining' },
  drainCut: { number: 1010, level: 'warn', text: 'shutdown cut short with requests in flight' },
  settingsReloaded: { number: 1005, level: 'info', text: 'settings file checked again; its changes take effect at the next start' },
  settingsInvalid: { number: 1006, level: 'error', text: 'settings file is invalid; the settings read at the start stay in use' },
  eventsDropped: { number: 1011, level: 'warn', text: 'log lines above the rate limit of their event were dropped' },
  hostStalled: { number: 1012, level: 'warn', text: 'event loop stood still; what arrived meanwhile was read late' },
  processStopped: { number: 1004, level: 'info', text: 'process stopped' },
  unexpectedError: { number: 1090, level: 'error', text: 'unexpected error' },
  ticketAccepted: { number: 2001, level: 'info', text: 'change ticket accepted' },
  ticketRefused: { number: 2002, level: 'warn', text: 'change ticket refused' },
  ticketUncertain: { number: 2003, level: 'warn', text: 'outcome of a change ticket not yet known' },
  revisionInForce: { number: 2010, level: 'info', text: 'configuration revision in force on this host' },
  revisionIgnored: { number: 2011, level: 'warn', text: 'configuration with a lower revision ignored' },
  configurationInvalid: { number: 2012, level: 'error', text: 'stored configuration could not be read' },
  fleetConfigurationInForce: { number: 2030, level: 'info', text: 'fleet configuration in force on this host' },
  storeBehind: { number: 2020, level: 'warn', text: 'stored configuration is older than the configuration in force' },
  storeRepaired: { number: 2021, level: 'warn', text: 'configuration in force written back to the object API' },
  requestAdmitted: { number: 3001, level: 'info', text: 'request admitted' },
  requestRefused: { number: 3002, level: 'warn', text: 'request refused' },
  pipelineOpened: { number: 3010, level: 'info', text: 'pipeline opened' },
  pipelineLost: { number: 3011, level: 'warn', text: 'pipeline lost a stage' },
  firstToken: { number: 3012, level: 'info', text: 'first token written to the caller' },
  requestAnswered: { number: 3020, level: 'info', text: 'request answered completely' },
  requestCut: { number: 3070, level: 'warn', text: 'request aborted by a shutdown that was cut short' },
  refusalsDropped: { number: 3072, level: 'warn', text: 'refusals above the size limit of a stored batch were dropped' },
  connectionMalformed: { number: 3071, level: 'debug', text: 'connection refused before a request could be read' },
  requestFailed: { number: 3021, level: 'warn', text: 'request ended without a complete answer' },
  answerTakenOver: { number: 3030, level: 'info', text: 'answer started at another entry is resumed here' },
  gatewayAnswered: { number: 3200, level: 'info', text: 'answer of a target forwarded completely' },
  gatewayRefused: { number: 3201, level: 'warn', text: 'request refused without having run' },
  gatewayFailed: { number: 3202, level: 'warn', text: 'request ended without an answer from a target' },
  callerGone: { number: 3203, level: 'info', text: 'caller disconnected before the end of its answer' },
  streamResumed: { number: 3204, level: 'warn', text: 'stream resumed on another path' },
  pathReplaced: { number: 3205, level: 'warn', text: 'path of a stream in progress replaced' },
  answerCut: { number: 3206, level: 'warn', text: 'answer that had begun cut by the gateway' },
  requestUnanswered: { number: 3207, level: 'warn', text: 'connection of a request closed by the gateway before its answer was complete' },
  boundChanged: { number: 3100, level: 'info', text: 'throughput bound of a model changed' },
  bookingIntended: { number: 4001, level: 'info', text: 'booking intent recorded' },
  bookingSent: { number: 4002, level: 'info', text: 'booking sent to the service' },
  bookingSettled: { number: 4003, level: 'info', text: 'booking outcome recorded' },
  bookingConcluded: { number: 4010, level: 'warn', text: 'booking settled by another host after the deadline of its holder' },
  bookingReplayed: { number: 4004, level: 'info', text: 'recorded booking outcome returned' },
  memberJoined: { number: 5001, level: 'info', text: 'member joined' },
  memberLost: { number: 5002, level: 'warn', text: 'member lost' },
  memberSuspected: { number: 5020, level: 'warn', text: 'member suspected after silence' },
  memberRefuted: { number: 5021, level: 'info', text: 'this member refuted a status that others reported for it' },
  memberForgotten: { number: 5022, level: 'info', text: 'dead member removed from the member table' },
  peerSilent: { number: 5023, level: 'warn', text: 'silent peer stream closed' },
  peerMessageInvalid: { number: 5030, level: 'warn', text: 'message from a peer could not be decoded' },
  peerStateRead: { number: 5031, level: 'info', text: 'targets updated from the state of a peer' },
  peerUnavailable: { number: 5032, level: 'warn', text: 'state of a peer could not be read' },
  peerConnected: { number: 5010, level: 'debug', text: 'peer stream opened' },
  peerDisconnected: { number: 5011, level: 'debug', text: 'peer stream closed' },
  targetLeaving: { number: 6001, level: 'info', text: 'target is leaving and gets no new work' },
  targetSuspected: { number: 6002, level: 'warn', text: 'target suspected' },
  targetInvalid: { number: 6003, level: 'warn', text: 'entry of a target is invalid and is ignored' },
  targetUnavailable: { number: 6004, level: 'warn', text: 'target did not report its state' },
  targetCrashed: { number: 6005, level: 'warn', text: 'target ended while it ran a request' },
  promptPartSuspected: { number: 6006, level: 'warn', text: 'part of a prompt suspected to crash engines' },
  promptPartCrashing: { number: 6007, level: 'warn', text: 'part of a prompt crashes engines; its requests are refused' },
  promptPartSound: { number: 6008, level: 'info', text: 'part of a prompt answered completely; nothing is held against it' },
  crashEvidenceRead: { number: 6051, level: 'info', text: 'evidence on requests that crash engines read from the store after a start' },
  crashEvidenceWritten: { number: 6052, level: 'info', text: 'evidence on requests that crash engines written to the store' },
  promptPartTried: { number: 6050, level: 'info', text: 'request sent to find out whether a part of its prompt crashes engines' },
  requestSuspected: { number: 6041, level: 'warn', text: 'repeats of a request suspected to crash engines' },
  requestCrashing: { number: 6042, level: 'warn', text: 'request crashes engines; its repeats are refused' },
  requestSound: { number: 6043, level: 'info', text: 'request answered completely; nothing is held against it' },
  targetLinksLost: { number: 6044, level: 'warn', text: 'this host does not reach targets that its peers reach; connections go through these' },
  targetLinksRegained: { number: 6045, level: 'info', text: 'this host reaches these targets itself again' },
  targetLimited: { number: 6009, level: 'warn', text: 'target names another rate of requests that it takes, or none any more' },
  answerFieldInvalid: { number: 6040, level: 'warn', text: 'field in an answer of a target could not be read and is ignored' },
  targetPauseRequested: { number: 6046, level: 'warn', text: 'target turned a request away and wants none from this host for a time' },
  targetPauseEnded: { number: 6047, level: 'info', text: 'target takes requests again after a pause' },
  layersLoaded: { number: 6022, level: 'info', text: 'engine has loaded the ordered layers' },
  placementPlanned: { number: 6023, level: 'info', text: 'loads planned from what the engines hold' },
  engineLeftOut: { number: 6024, level: 'warn', text: 'engine left out of placement' },
  leaseAcquired: { number: 6010, level: 'info', text: 'control lease acquired' },
  leaseLost: { number: 6011, level: 'warn', text: 'control lease lost' },
  orderSent: { number: 6020, level: 'info', text: 'order sent to an engine' },
  orderHeld: { number: 6030, level: 'info', text: 'order held back' },
  fencingOutranked: { number: 6031, level: 'warn', text: 'engine reports a higher fencing number than that of the lease' },
  orderRefused: { number: 6021, level: 'warn', text: 'order refused by an engine' },
  storeUnavailable: { number: 7001, level: 'warn', text: 'object API not available' },
  storeRecovered: { number: 7002, level: 'info', text: 'object API available again' },
  watchReplaced: { number: 7003, level: 'warn', text: 'watch timed out and is replaced' },
  storeRestored: { number: 7005, level: 'warn', text: 'object API came back from a copy; its latest changes are lost' },
  targetsLeftToReaders: { number: 7004, level: 'info', text: 'watch of the store ended; other hosts now read it for this one' }
} as const satisfies Record<string, EventDefinition>

/** Name of an event. */
export type EventName = keyof typeof EVENTS
