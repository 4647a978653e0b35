/**
 * Grammar of the scenario language: one statement per line, `#` starts a comment.
 */
import * as ohm from 'ohm-js'

export const grammar = ohm.grammar(String.raw`
Scenario {
  Statement
    = Start | Submit | Race | Send | Continue | Book | Kill | Freeze | Resume | Cut | Heal | Degrade | Silence
    | Leave | Store | Service | Drain | Restart | Leaves | Await | Wait | Expect

  Start
    = "start" "entry" "on" name "in" name                                   -- entry
    | "start" "control" "on" name "in" name                                 -- control
    | "start" "engine" name "for" name "layers" number "to" number          -- engine
    | "start" "service" name                                                -- service
  Restart = "restart" Role "on" name
  Submit = "submit" "ticket" number Content "by" name "at" name
  Race = "race" "ticket" number Content "by" name "at" name "against" "ticket" number Content "by" name "at" name
  Content
    = "setting" name "=" number                                             -- timeout
    | "naming" "every" "target"                                              -- all
  Send = "send" name "to" name "at" name "for" number "tokens"
  Continue = "continue" name "at" name
  Book = "book" name "with" "key" name "of" quoted "at" name
  Kill = "kill" Engine                                                      -- engine
    | "kill" Thing                                                          -- daemon
  Freeze = "freeze" Engine                                                  -- engine
    | "freeze" Thing                                                        -- daemon
  Resume = "resume" Engine                                                  -- engine
    | "resume" Thing                                                        -- daemon
  Cut = "cut" Engine "off"                                                  -- link
    | "cut" name "from" "the" "store"                                       -- store
    | "cut" name "from" name                                                -- hosts
  Heal = "heal" name "and" "the" "store"                                    -- store
    | "heal" name "and" name                                                -- hosts
  Degrade = "degrade" Engine "by" number "ms"
  Silence = "silence" Engine                                                -- engine
    | "silence" "watches"                                                   -- watches
  Leave = "caller" "of" name "leaves"
  Leaves = Engine "leaves" "by" ("host list" | "own word")
  Store
    = "store" "goes" "down"                                                 -- down
    | "store" "comes" "back"                                                -- up
    | "store" "loses" "the" "next" number "answers"                         -- lose
    | "store" "holds" "the" "next" number "writes"                          -- hold
    | "store" "applies" "held" "writes"                                     -- apply
    | "store" "is" "copied"                                                 -- copy
    | "store" "is" "restored"                                               -- restore
  Service
    = "service" name "loses" "the" "next" number "answers"                  -- lose
    | "service" name "refuses" "connections"                                -- refuse
  Drain = "drain" "entry" "on" name
  Wait = "wait" number "ms"
  Await
    = "wait" "for" name                                                     -- outcome
    | "wait" "for" number "tokens" "of" name                                -- tokens
    | "wait" "for" "revision" number "at" Where                             -- revision
  Expect
    = "expect" name "answered" "in" "full"                                  -- answered
    | "expect" name "refused" "with" name "and" "verdict" name              -- refused
    | "expect" "ticket" number "by" name "accepted"                         -- accepted
    | "expect" "ticket" number "by" name "refused" "with" name              -- ticketRefused
    | "expect" "ticket" number "by" name "uncertain"                        -- uncertain
    | "expect" "revision" number "at" Where "within" number "ms"            -- revisionWithin
    | "expect" "revision" number "at" Where                                 -- revision
    | "expect" "no" "revision" "fell"                                       -- monotonic
    | "expect" "each" "layer" "once"                                        -- layers
    | "expect" "key" name "booked" number "times"                           -- booked
    | "expect" "no" "new" "work" "on" "leaving" "engines"                   -- idle
    | "expect" name "took" number "attempts"                                -- attempts
    | "expect" "nothing" "left" "open"                                      -- clean
    | "expect" "entry" "on" name "stopped" "cutting" "off" number           -- stopped

  Role = "entry" | "control"
  Thing = ("host" | "control" | "entry") name
  Engine
    = "engine" name                                                         -- named
    | "stage" number "of" name                                              -- stage
    | "every engine"                                                        -- every
  Where = "every host" | name
  name = letter (alnum | "-" | "_")*
  number = digit+
  quoted = "\"" (~"\"" any)* "\""
}
`)
