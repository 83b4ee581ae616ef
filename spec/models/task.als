-- One task, its record and its attempts on workers. Start orders may be delayed for a long time or
-- lost, workers may become unreachable, and evictions and cancellations may happen at any moment.
module task
open util/ordering[Attempt]

abstract sig Safeguard {}
one sig RecordFirst, WaitForEnd, OrdersExpire, OnlyWhenQueued extends Safeguard {}
sig Present in Safeguard {}

sig Attempt {}

one sig Record { var placed: lone Attempt }
var lone sig Ended in Record {}
var sig Used in Attempt {}
var sig Wire in Attempt {}
var sig Expired in Attempt {}
var sig Running in Attempt {}
var sig Finished in Attempt {}

fact init {
  no placed and no Ended and no Used and no Wire and no Expired and no Running and no Finished
}

pred recordStays { placed' = placed and Ended' = Ended and Used' = Used }
pred wireStays { Wire' = Wire and Expired' = Expired }
pred workStays { Running' = Running and Finished' = Finished }

-- The conditional write that places the next attempt.
pred place[a: Attempt] {
  no Ended
  OnlyWhenQueued in Present implies no Record.placed
  a not in Used and Used = prevs[a]
  Record.placed' = a
  Used' = Used + a
  Ended' = Ended and wireStays and workStays
}

-- The start order. Without RecordFirst, it is sent before the write is known to have taken effect.
pred order[a: Attempt] {
  RecordFirst in Present implies a in Record.placed else a in Record.placed + (Attempt - Used)
  a not in Wire + Expired + Running + Finished
  Wire' = Wire + a and Expired' = Expired
  recordStays and workStays
}

pred arrive[a: Attempt] {
  a in Wire
  Wire' = Wire - a and Expired' = Expired
  (OrdersExpire in Present and a in Expired) implies Running' = Running else Running' = Running + a
  Finished' = Finished
  recordStays
}

pred expire[a: Attempt] {
  a in Wire - Expired
  Expired' = Expired + a and Wire' = Wire
  recordStays and workStays
}

pred finish[a: Attempt] {
  a in Running
  Running' = Running - a and Finished' = Finished + a
  recordStays and wireStays
}

-- The attempt is stopped by an order, by the expiry of its lease or by a failure.
pred stop[a: Attempt] {
  a in Running
  Running' = Running - a and Finished' = Finished and Expired' = Expired + a and Wire' = Wire
  recordStays
}

-- The record returns the task to the queue: the task was evicted, or its worker is lost or unreachable.
pred requeue {
  some Record.placed
  WaitForEnd in Present implies
    Record.placed not in Running + (Wire - Expired)
  -- an owner that lost the worker before it sent an order leaves the same state; it sends none later
  Record.placed in Expired + Wire + Running + Finished or Record.placed not in Wire
  no Record.placed'
  Expired' = Expired + Record.placed
  Ended' = Ended and Used' = Used and Wire' = Wire and workStays
}

-- The record of the end of the task, by completion or by cancellation.
pred end {
  no Ended
  (some Record.placed & Finished)
    or (no Record.placed)
    or (WaitForEnd in Present implies Record.placed not in Running + (Wire - Expired))
  Ended' = Record
  no Record.placed'
  Expired' = Expired + Record.placed
  Used' = Used and Wire' = Wire and workStays
}

pred stutter { recordStays and wireStays and workStays }

fact trace {
  always (stutter or requeue or end
    or (some a: Attempt | place[a] or order[a] or arrive[a] or expire[a] or finish[a] or stop[a]))
}

-- A task never runs in two places, and never runs again once it has ended.
pred promised {
  always lone Running
  always (some Ended implies always no Running)
}

check holds { Present = Safeguard implies promised } for 3 but exactly 3 Attempt, 1..14 steps expect 0
check withoutRecordFirst { Present = Safeguard - RecordFirst implies promised } for 3 but exactly 3 Attempt, 1..10 steps expect 1
check withoutWaitForEnd { Present = Safeguard - WaitForEnd implies promised } for 3 but exactly 3 Attempt, 1..10 steps expect 1
check withoutOrdersExpire { Present = Safeguard - OrdersExpire implies promised } for 3 but exactly 3 Attempt, 1..10 steps expect 1
check withoutOnlyWhenQueued { Present = Safeguard - OnlyWhenQueued implies promised } for 3 but exactly 3 Attempt, 1..10 steps expect 1
run resumed { Present = Safeguard and eventually (some first & Running and eventually (some last & Finished and eventually some Ended)) } for 3 but exactly 3 Attempt, 1..14 steps expect 1
