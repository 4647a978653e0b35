/**
 * Creates the parts of a control daemon and starts its tasks.
 */
import { startDaemon } from '../../daemon/startDaemon/index.js'
import type { Daemon, DaemonPorts } from '../../daemon/types.js'
import type { EngineClient } from '../../engine/types.js'
import { createHttpEngine } from '../../engine/createHttpEngine/index.js'
import { createResourceStack } from '../../runtime/createResourceStack/index.js'
import type { Runtime } from '../../runtime/types.js'
import type { DaemonSettings } from '../../settings/types.js'
import { runControl } from '../runControl/index.js'
import { pollEngines } from '../pollEngines/index.js'

/** What a control daemon connects to outside the process; tests and embedding programs may replace each part. */
export interface ControlPorts extends DaemonPorts {
  engines: EngineClient
}

/** A running control daemon. */
export interface ControlDaemon extends AsyncDisposable {
  daemon: Daemon
}

/**
 * @name startControl
 * @summary Starts a control daemon.
 * @param settings - Validated settings.
 * @param options - The runtime, and replacements for parts that would use the network.
 * @returns The daemon, once its operator port is listening.
 *
 * @example
 * await using control = await startControl(settings, { runtime: createSystemRuntime() })
 */
export async function startControl (settings: DaemonSettings, options: { runtime: Runtime, ports?: Partial<ControlPorts> }): Promise<ControlDaemon> {
  const { runtime, ports = {} } = options
  const resources = createResourceStack()
  const engines = resources.use(ports.engines ?? createHttpEngine({ runtime }))
  const daemon = await startDaemon(settings, { role: 'control', runtime, ports })
  const logError = (error: Error): void => { daemon.log.emit('unexpectedError', { cause: error.message }) }
  const tasks = [runControl({ daemon, engines }), pollEngines({ daemon, engines })].map(task => task.catch(logError))
  daemon.log.emit('processStarted', { operator: daemon.operatorUrl })
  return {
    daemon,
    async [Symbol.asyncDispose] () {
      await daemon[Symbol.asyncDispose]()
      await resources[Symbol.asyncDispose]()
      await Promise.all(tasks)
    }
  }
}
