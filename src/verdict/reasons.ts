/**
 * Catalogue of the reasons for which a request or a ticket may be refused. The number of a removed
 * reason is never reused.
 */

/** One reason of the catalogue. */
export interface ReasonDefinition {
  /** Number that callers see; its first digit is the group. */
  number: number
  /** HTTP status of a refusal with this reason. */
  status: number
  /** Sentence for the caller. */
  title: string
}

/** Reasons by name. Groups: 1xx input of the caller, 2xx limits and load, 3xx targets, 4xx bookings, 5xx tickets, 6xx the system itself. */
export const REASONS = {
  malformedRequest: { number: 101, status: 400, title: 'The request could not be read.' },
  unauthorized: { number: 102, status: 401, title: 'The bearer token is missing or not known.' },
  unknownModel: { number: 103, status: 404, title: 'No such model is in force.' },
  unknownService: { number: 104, status: 404, title: 'No such service is in force.' },
  unknownPath: { number: 105, status: 404, title: 'There is nothing at this path.' },
  bodyTooLarge: { number: 106, status: 413, title: 'The request body is over the limit.' },
  promptTooLong: { number: 107, status: 413, title: 'The prompt is over the limit.' },
  senderTooSlow: { number: 108, status: 408, title: 'The request body did not arrive in time.' },
  callerGone: { number: 109, status: 499, title: 'The caller went away.' },
  sequenceUnknown: { number: 110, status: 409, title: 'No engine holds the answer that the event identity names.' },
  headerTooLarge: { number: 120, status: 431, title: 'The request header is over the limit.' },
  accountLimit: { number: 201, status: 429, title: 'A limit of the client account is reached.' },
  overloaded: { number: 202, status: 503, title: 'The wait would pass the deadline of the request.' },
  noPipeline: { number: 301, status: 503, title: 'No chain of live targets covers the model.' },
  targetFailed: { number: 302, status: 502, title: 'A target failed and the answer could not be completed.' },
  deadlinePassed: { number: 303, status: 504, title: 'The deadline of the request has passed.' },
  targetUnreachable: { number: 304, status: 503, title: 'No target of the service could be reached.' },
  promptCrashesEngines: { number: 305, status: 503, title: 'A part of the prompt has crashed the engines that began to answer it.' },
  requestCrashesEngines: { number: 306, status: 503, title: 'Each time this request was run, the engine ended that had begun to run it.' },
  bookingInDoubt: { number: 401, status: 409, title: 'An earlier call with this key may have run.' },
  bookingMismatch: { number: 402, status: 422, title: 'This key was used with another request body.' },
  bookingStoreUnavailable: { number: 403, status: 503, title: 'The booking could not be recorded, so this call was not sent.' },
  bookingClosed: { number: 404, status: 409, title: 'The service does not know this key; the call did not run and the key is closed. Use a new key.' },
  bookingAnswerNotKept: { number: 405, status: 409, title: 'The call ran; its answer was too large to keep.' },
  ticketInvalid: { number: 501, status: 400, title: 'The ticket does not match its schema.' },
  ticketNumberTaken: { number: 502, status: 409, title: 'Another ticket holds this number.' },
  ticketSuperseded: { number: 503, status: 409, title: 'A ticket with a higher number is in force for a scope.' },
  ticketStaleBase: { number: 504, status: 409, title: 'What is in force has moved since the ticket was written.' },
  ticketInconsistent: { number: 505, status: 422, title: 'The ticket does not fit what is in force.' },
  ticketInDoubt: { number: 506, status: 503, title: 'Whether the ticket was accepted is not yet known.' },
  unknownTicket: { number: 507, status: 404, title: 'No such ticket is recorded.' },
  unknownRefusal: { number: 508, status: 404, title: 'No record of this identity is kept.' },
  ticketUnknownHost: { number: 509, status: 422, title: 'The host list does not name a host of the ticket.' },
  notReady: { number: 601, status: 503, title: 'This host has no configuration in force yet.' },
  draining: { number: 602, status: 503, title: 'This host is shutting down.' },
  storeUnavailable: { number: 603, status: 503, title: 'The object API is not available.' },
  staleConfiguration: { number: 604, status: 503, title: 'This host is cut off and may not have the newest configuration.' },
  interrupted: { number: 605, status: 504, title: 'This host shut down before the request had an answer.' },
  internalError: { number: 690, status: 500, title: 'The system failed in an unexpected way.' }
} as const satisfies Record<string, ReasonDefinition>

/** Name of a reason. */
export type ReasonName = keyof typeof REASONS
