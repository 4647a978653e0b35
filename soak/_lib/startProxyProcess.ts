/**
 * A proxy in a process of its own, which can be killed. When it is killed, the operating system closes
 * its connections as it does those of any process: without a reset if nothing in them is unread.
 */
import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { join } from 'node:path'
import { nextProxyIp, type Proxy, type ProxyFault } from './startProxy.js'

/** A proxy in a process of its own. */
export interface ProxyProcess extends Proxy {
  kill: () => void
  /** Starts the process again at the same address if it was killed; otherwise ends its fault. */
  restore: () => Promise<void>
}

/** Starts a proxy process before the server at an address. */
export async function startProxyProcess (server: string): Promise<ProxyProcess> {
  const ip = nextProxyIp()
  let child: ChildProcess | undefined
  const address = await start('0')

  async function start (port: string): Promise<string> {
    child = fork(join(import.meta.dirname, 'proxyProcess.ts'), [server, ip, port], { execArgv: ['--import=tsx'] })
    const [started] = await once(child, 'message')
    return started as string
  }

  function kill (): void {
    child?.kill('SIGKILL')
    child = undefined
  }

  function setFault (fault: ProxyFault): void {
    if (child?.connected === true) child.send(fault)
  }

  return {
    address,
    setFault,
    kill,
    async restore () {
      if (child === undefined) await start(address.split(':')[1]!)
      else setFault({ kind: 'none' })
    },
    async [Symbol.asyncDispose] () { kill() }
  }
}
