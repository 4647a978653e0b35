#!/usr/bin/env node
/**
 * Entry point of the operator's command line.
 */
import { Builtins, Cli } from 'clipanion'
import { PlatformCheckCommand } from '../../platform/checkCommand.js'
import { TokenCommand } from '../cli/commands/check.js'
import { OverloadCommand } from '../cli/commands/overload.js'
import { ExplainCommand, InForceCommand, MembersCommand } from '../cli/commands/read.js'
import { PlacementCommand } from '../cli/commands/placement.js'
import { TicketListCommand, TicketShowCommand, TicketSubmitCommand } from '../cli/commands/ticket.js'
import { TimelineCommand } from '../cli/commands/timeline.js'

const cli = new Cli({ binaryName: 'coltsfootlead', binaryLabel: 'coltsfootlead operator command line', binaryVersion: '0.1.0' })
const commands = [
  Builtins.HelpCommand, Builtins.VersionCommand, PlatformCheckCommand, TokenCommand, TicketSubmitCommand, TicketShowCommand,
  TicketListCommand, InForceCommand, ExplainCommand, MembersCommand, PlacementCommand, TimelineCommand, OverloadCommand
]
for (const command of commands) cli.register(command)
await cli.runExit(process.argv.slice(2))
