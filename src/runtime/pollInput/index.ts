/**
 * Lets the event loop read what has arrived. A process that stood still reads bytes in one turn of the
 * loop and the close of their connection in the next, however long ago both arrived.
 */

/**
 * @name pollInput
 * @summary Resolves once the event loop has polled its sockets after the call.
 * @returns A promise that resolves within two turns of the loop; it never rejects.
 *
 * @example
 * await pollInput()
 * if (signal.aborted) return
 */
export function pollInput (): Promise<void> {
  // The first turn may already have polled; the second one polls anew.
  return new Promise(resolve => { setImmediate(() => setImmediate(resolve)) })
}
