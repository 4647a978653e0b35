/**
 * Program of a proxy's own process: takes the server's address, its own address and port as arguments, reports its
 * address once it listens, and takes faults as messages.
 */
import { startProxy, type ProxyFault } from './startProxy.js'

const [server, ip, port] = process.argv.slice(2) as [string, string, string]
const proxy = await startProxy(server, { ip, port: Number(port) })
process.on('message', fault => proxy.setFault(fault as ProxyFault))
process.on('disconnect', () => process.exit())
process.send!(proxy.address)
