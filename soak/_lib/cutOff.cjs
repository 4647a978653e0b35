/**
 * Preloaded into a gateway process: a message with addresses cuts the process off from them. New connections hang or
 * are refused, open ones live on or are reset; an empty list of addresses ends the cut.
 */
const { Socket } = require('node:net')
let cut = { addresses: [] }
const open = new Map()
const { connect } = Socket.prototype
Socket.prototype.connect = function (...args) {
  const [{ host, port }] = Array.isArray(args[0]) ? args[0] : args
  const address = `${host}:${port}`
  if (!cut.addresses.includes(address)) {
    open.set(this, address)
    this.once('close', () => open.delete(this))
    return connect.apply(this, args)
  }
  this.connecting = true
  if (cut.isRefused) process.nextTick(() => this.destroy(Object.assign(new Error('connect ECONNREFUSED'), { code: 'ECONNREFUSED' })))
  return this
}
process.on('message', message => {
  cut = message
  if (!cut.isReset) return
  for (const [socket, address] of open) if (cut.addresses.includes(address)) socket.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
})
process.channel?.unref()
// A soak that was killed leaves no processes behind.
process.on('disconnect', () => process.exit())
