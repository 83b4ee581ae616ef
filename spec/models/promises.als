-- Cover by promises while the store is unavailable. Epoch 1 has two members; a third joins in
-- epoch 2. A member acts while its lease in the store is valid or while it has the promises of all
-- other members of its epoch. Any of the three may remove a silent member.
module promises

abstract sig Safeguard {}
one sig KeepPromise, Unanimous, SameEpoch, RefuserOrHorizon, RefuserWaits, Bounded, DropOldCover extends Safeguard {}
sig Present in Safeguard {}

abstract sig Epoch {}
one sig First, Second extends Epoch {}

sig Instance {
  var seen: lone Epoch,          -- the epoch it acts under
  var promised: set Instance,    -- members to which its promises may still be in force
  var removed: set Instance      -- members that it removed itself
}
sig Old in Instance {}           -- members of both epochs
one sig Fresh extends Instance {}-- member of the second epoch only

var sig Joined in Fresh {}       -- the second epoch exists
var sig Leased in Instance {}    -- its lease in the store is valid by its own clock
var sig Silent in Instance {}    -- the store has received no renewal for one lease time
var sig Cover in Instance {}     -- covered by promises
var sig HorizonOver in Instance {}
var sig Revoked in Instance {}

fun others[i: Instance]: set Instance {
  i.seen = First implies Old - i else (Old + Fresh) - i
}

fact init {
  Old = Instance - Fresh
  no Joined and no Silent and no Cover and no HorizonOver and no Revoked and no promised and no removed
  Leased = Old
  all i: Old | i.seen = First
  no Fresh.seen
}

pred removalsStay { Revoked' = Revoked and removed' = removed }
pred viewsStay { seen' = seen and Joined' = Joined }
pred leasesStay { Leased' = Leased and Silent' = Silent }
pred coverStays { Cover' = Cover and promised' = promised and HorizonOver' = HorizonOver }

pred join {
  no Joined
  Joined' = Fresh
  Leased' = Leased + Fresh
  seen' = seen + Fresh->Second
  Silent' = Silent and coverStays and removalsStay
}

-- A member reads the second epoch and acknowledges it, which requires the store. The promises of the
-- members of the first epoch no longer count, because the second has a member that was not asked.
pred ack[i: Instance] {
  some Joined and i.seen = First and i in Leased
  seen' = seen ++ i->Second
  DropOldCover in Present implies Cover' = Cover - i else Cover' = Cover
  promised' = promised and HorizonOver' = HorizonOver
  Joined' = Joined and leasesStay and removalsStay
}

pred lapse[i: Instance] {
  i in Leased
  Leased' = Leased - i
  viewsStay and Silent' = Silent and coverStays and removalsStay
}

-- An observer's wait for a renewal ends after the lease of the observed member has expired.
pred fallSilent[i: Instance] {
  some i.seen and i not in Leased + Silent
  Silent' = Silent + i
  viewsStay and Leased' = Leased and coverStays and removalsStay
}

pred promise[p, i: Instance] {
  -- p may not know yet that another member has removed i
  p != i and p not in Revoked and i not in p.removed and some i.seen
  p in others[i]
  SameEpoch in Present implies p.seen = i.seen
  i not in p.promised
  promised' = promised + p->i
  viewsStay and leasesStay and Cover' = Cover and HorizonOver' = HorizonOver and removalsStay
}

pred cover[i: Instance] {
  i not in Cover and some others[i]
  Unanimous in Present implies others[i] in promised.i else some others[i] & promised.i
  Bounded in Present implies i not in HorizonOver
  Cover' = Cover + i
  viewsStay and leasesStay and promised' = promised and HorizonOver' = HorizonOver and removalsStay
}

-- A promise lasts longer, by the clock of the member that gave it, than the cover it was given for.
pred promiseEnds[p, i: Instance] {
  i in p.promised and i not in Cover
  promised' = promised - p->i
  viewsStay and leasesStay and Cover' = Cover and HorizonOver' = HorizonOver and removalsStay
}

pred coverEnds[i: Instance] {
  i in Cover
  Cover' = Cover - i
  viewsStay and leasesStay and promised' = promised and HorizonOver' = HorizonOver and removalsStay
}

-- The horizon since the last renewal has passed. With the bound, no cover extends beyond it.
pred horizonEnds[i: Instance] {
  i not in HorizonOver + Leased
  Bounded in Present implies i not in Cover
  HorizonOver' = HorizonOver + i
  viewsStay and leasesStay and Cover' = Cover and promised' = promised and removalsStay
}

-- True if r is a member of the epoch that i acknowledged, so i needs the promise of r.
pred mustAsk[i, r: Instance] { r in Old or i.seen = Second }

pred revoke[r, i: Instance] {
  r != i and some r.seen and i in Silent - Revoked and r in Leased and r not in Revoked
  KeepPromise in Present implies i not in r.promised
  RefuserOrHorizon in Present implies
    (mustAsk[i, r]
      or (some o: Old - i | o.seen = Second and (RefuserWaits in Present implies i not in o.promised))
      or i in HorizonOver)
  Revoked' = Revoked + i and removed' = removed + r->i
  viewsStay and leasesStay and coverStays
}

pred stutter { viewsStay and leasesStay and coverStays and removalsStay }

fact trace {
  always (stutter or join
    or (some i: Instance | ack[i] or lapse[i] or fallSilent[i] or cover[i] or coverEnds[i] or horizonEnds[i])
    or (some p, i: Instance | promise[p, i] or promiseEnds[p, i] or revoke[p, i]))
}

-- No member acts after its share was assigned to others.
pred promisedAll { always no Revoked & (Leased + Cover) }

check holds { Present = Safeguard implies promisedAll } for 3 but exactly 3 Instance, 1..10 steps expect 0
check withoutKeepPromise { Present = Safeguard - KeepPromise implies promisedAll } for 3 but exactly 3 Instance, 1..10 steps expect 1
check withoutUnanimous { Present = Safeguard - Unanimous implies promisedAll } for 3 but exactly 3 Instance, 1..12 steps expect 1
check withoutSameEpoch { Present = Safeguard - SameEpoch implies promisedAll } for 3 but exactly 3 Instance, 1..10 steps expect 1
check withoutRefuserOrHorizon { Present = Safeguard - RefuserOrHorizon implies promisedAll } for 3 but exactly 3 Instance, 1..10 steps expect 1
check withoutRefuserWaits { Present = Safeguard - RefuserWaits implies promisedAll } for 3 but exactly 3 Instance, 1..10 steps expect 1
check withoutBounded { Present = Safeguard - Bounded implies promisedAll } for 3 but exactly 3 Instance, 1..10 steps expect 1
check withoutDropOldCover { Present = Safeguard - DropOldCover implies promisedAll } for 3 but exactly 3 Instance, 1..10 steps expect 1
run someCover { Present = Safeguard and eventually (some Cover and eventually some Revoked) } for 3 but exactly 3 Instance, 1..10 steps expect 1
