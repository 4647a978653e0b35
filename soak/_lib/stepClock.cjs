/**
 * Preloaded into a gateway process: each SIGUSR2 moves the process's time of day by up to a minute,
 * forward or backward.
 */
const LARGEST_STEP_MS = 60_000
const realNow = Date.now
let offsetMs = 0
Date.now = () => realNow() + offsetMs
process.on('SIGUSR2', () => { offsetMs = Math.round((Math.random() * 2 - 1) * LARGEST_STEP_MS) })
