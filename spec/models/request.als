-- One non-idempotent request under one key, sent by its caller to several entry instances. The claim
-- row in the store is written conditionally. Responses of store and endpoint may be lost or late.
module request

abstract sig Safeguard {}
one sig ClaimFirst, ConditionalClaim, ReleaseOnlyUnsent, NoResend, DoubtAfterSend extends Safeguard {}
sig Present in Safeguard {}

enum Phase { Idle, Claiming, Queued, AtEndpoint, Closed }
enum Row { Absent, Claimed, Released, Answered }
enum Said { Nothing, SaidRan, SaidNotRun, SaidUnknown }

sig Instance { var phase: one Phase, var said: one Said }
one sig Store { var row: one Row, var holder: lone Instance }
sig Run { by: one Instance }

var sig Writing in Instance {}  -- its write of the claim may still take effect
var sig Wire in Run {}
var sig Ran in Run {}
var sig Sent in Run {}

fact init {
  all i: Instance | i.phase = Idle and i.said = Nothing
  Store.row = Absent and no Store.holder
  no Writing and no Wire and no Ran and no Sent
}

pred others[i: Instance] { all j: Instance - i | j.phase' = j.phase and j.said' = j.said }
pred storeStays { row' = row and holder' = holder }
pred wireStays { Wire' = Wire and Ran' = Ran and Sent' = Sent }
pred becomes[i: Instance, p: Phase, s: Said] { i.phase' = p and i.said' = s and others[i] }

pred arrive[i: Instance] {
  i.phase = Idle
  ClaimFirst in Present
    implies (becomes[i, Claiming, Nothing] and Writing' = Writing + i)
    else (becomes[i, Queued, Nothing] and Writing' = Writing)
  storeStays and wireStays
}

-- The claim takes effect in the store, possibly long after its instance abandoned the request.
pred commit[i: Instance] {
  i in Writing
  ConditionalClaim in Present implies Store.row in Absent + Released
  Store.row' = Claimed and Store.holder' = i
  Writing' = Writing - i
  phase' = phase and said' = said and wireStays
}

pred learn[i: Instance] {
  i.phase = Claiming and Store.holder = i and Store.row = Claimed and i not in Writing
  becomes[i, Queued, Nothing]
  storeStays and wireStays and Writing' = Writing
}

pred conflict[i: Instance] {
  i.phase = Claiming and Store.row in Claimed + Answered and Store.holder != i
  becomes[i, Closed, (Store.row = Answered implies SaidRan else SaidUnknown)]
  Writing' = Writing - i
  storeStays and wireStays
}

pred giveUp[i: Instance] {
  i.phase in Claiming + Queued
  becomes[i, Closed, SaidNotRun]
  storeStays and wireStays and Writing' = Writing
}

-- The claim of an abandoned request is released.
pred release[i: Instance] {
  i.phase = Closed and Store.holder = i and Store.row = Claimed
  ReleaseOnlyUnsent in Present implies (i.said = SaidNotRun and no by.i & Sent)
  Store.row' = Released and holder' = holder
  phase' = phase and said' = said and wireStays and Writing' = Writing
}

pred send[i: Instance, r: Run] {
  i.phase = Queued and r.by = i and r not in Sent
  becomes[i, AtEndpoint, Nothing]
  Wire' = Wire + r and Sent' = Sent + r and Ran' = Ran
  storeStays and Writing' = Writing
}

pred runs[r: Run] {
  r in Wire
  Wire' = Wire - r and Ran' = Ran + r and Sent' = Sent
  phase' = phase and said' = said and storeStays and Writing' = Writing
}

pred answered[i: Instance] {
  i.phase = AtEndpoint and some by.i & Ran
  becomes[i, Closed, SaidRan]
  Store.row' = (Store.holder = i implies Answered else Store.row)
  holder' = holder and wireStays and Writing' = Writing
}

-- The response of the endpoint is lost or late.
pred lost[i: Instance] {
  i.phase = AtEndpoint
  NoResend in Present
    implies becomes[i, Closed, (DoubtAfterSend in Present implies SaidUnknown else SaidNotRun)]
    else becomes[i, Queued, Nothing]
  storeStays and wireStays and Writing' = Writing
}

pred stutter {
  phase' = phase and said' = said and storeStays and wireStays and Writing' = Writing
}

fact trace {
  always (stutter
    or (some i: Instance | arrive[i] or commit[i] or learn[i] or conflict[i] or giveUp[i]
      or release[i] or answered[i] or lost[i])
    or (some i: Instance, r: Run | send[i, r])
    or (some r: Run | runs[r]))
}

pred atMostOnce { always lone Ran }
pred refusalsAreTrue { always all i: Instance | i.said = SaidNotRun implies always no by.i & Ran }
pred promised { atMostOnce and refusalsAreTrue }

check holds { Present = Safeguard implies promised } for 3 but 3 Instance, 3 Run, 1..12 steps expect 0
check withoutClaimFirst { Present = Safeguard - ClaimFirst implies promised } for 3 but 1..10 steps expect 1
check withoutConditionalClaim { Present = Safeguard - ConditionalClaim implies promised } for 3 but 1..12 steps expect 1
check withoutReleaseOnlyUnsent { Present = Safeguard - ReleaseOnlyUnsent implies promised } for 3 but 1..14 steps expect 1
check withoutNoResend { Present = Safeguard - NoResend implies promised } for 3 but 1..10 steps expect 1
check withoutDoubtAfterSend { Present = Safeguard - DoubtAfterSend implies promised } for 3 but 1..10 steps expect 1
run releasedThenRun { Present = Safeguard and eventually (Store.row = Released and eventually some Ran) } for 3 but 1..12 steps expect 1
