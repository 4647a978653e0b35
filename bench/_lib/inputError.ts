/**
 * An error in what a bench was given; its message is printed without a trace.
 */
export class BenchInputError extends Error {}
