/**
 * The parts of the router, for programs that embed them. The daemons are wired from the same.
 */
export { startEntry } from './entry/startEntry/index.js'
export { startControl } from './control/startControl/index.js'
export { createSystemRuntime } from './runtime/createSystemRuntime/index.js'
export { daemonSettingsSchema, type DaemonSettings } from './settings/types.js'
export { readSettings, SettingsError } from './settings/readSettings/index.js'
export { submitTicket } from './ticket/submitTicket/index.js'
export { checkTicket, applyTicket } from './ticket/checkTicket/index.js'
export { runPipeline } from './pipeline/runPipeline/index.js'
export { chooseChain } from './pipeline/chooseChain/index.js'
export { bookOnce } from './booking/bookOnce/index.js'
export type * from './runtime/types.js'
export type * from './engine/types.js'
export type * from './objectApi/types.js'
export type * from './pipeline/types.js'
export type * from './verdict/types.js'
