/**
 * Loaded into a gateway before its program: each SIGUSR2 moves the time of day of the process by
 * up to a minute, forth or back.
 */
const LARGEST_STEP_MS = 60_000
const realNow = Date.now
let offsetMs = 0
Date.now = () => realNow() + offsetMs
process.on('SIGUSR2', () => { offsetMs = Math.round((Math.random() * 2 - 1) * LARGEST_STEP_MS) })
