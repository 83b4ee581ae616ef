-- One worker with capacity for one task, entry instances that take it over from each other, and
-- orders that may be delayed for a long time. Time is abstract: a lease expires (lapse) or an order
-- expires (expire) in any step. Where the code waits, the model has the condition that the lease or
-- the order has expired first.
module ownership

abstract sig Safeguard {}
one sig ActsUnderLease, WaitForLapse, WaitForOrders, OrdersExpire, ReadFirst extends Safeguard {}
sig Present in Safeguard {}

sig Instance { var busy: set Order }
sig Order { by: one Instance }

var lone sig Owner in Instance {}
var sig Believer in Instance {}
var sig Acting in Instance {}
var sig Wire in Order {}
var sig Expired in Order {}
var sig Running in Order {}
var sig Sent in Order {}

fact init {
  no Owner and no Believer and no Acting
  no Wire and no Expired and no Running and no Sent
  no busy
}

pred same[i: set Instance] { all j: Instance - i | j.busy' = j.busy }
pred ordersStay { Wire' = Wire and Expired' = Expired and Running' = Running and Sent' = Sent }
pred ownersStay { Owner' = Owner and Believer' = Believer and Acting' = Acting }

-- The store assigns the worker to another instance.
pred takeOver[i: Instance] {
  i not in Owner + Believer
  WaitForLapse in Present implies no Owner & Acting
  Owner' = i
  Acting' = Acting + i
  Believer' = Believer
  ordersStay
  same[none]
}

-- The new owner reads what the worker runs and may use the worker from then on.
pred gain[i: Instance] {
  i in Owner and i not in Believer
  WaitForOrders in Present implies all o: Wire | o.by = i or o in Expired
  Believer' = Believer + i
  ReadFirst in Present implies i.busy' = Running else no i.busy'
  Owner' = Owner and Acting' = Acting
  ordersStay
  same[i]
}

-- The lease expires as time passes or while the instance is paused for a long time.
pred lapse[i: Instance] {
  i in Acting
  Acting' = Acting - i
  Owner' = Owner and Believer' = Believer
  ordersStay
  same[none]
}

pred send[i: Instance, o: Order] {
  i in Believer
  ActsUnderLease in Present implies i in Acting
  o.by = i and o not in Sent
  no i.busy
  i.busy' = o
  Sent' = Sent + o and Wire' = Wire + o
  Expired' = Expired and Running' = Running
  ownersStay
  same[i]
}

pred arrive[o: Order] {
  o in Wire
  Wire' = Wire - o
  (OrdersExpire in Present and o in Expired) implies Running' = Running else Running' = Running + o
  Expired' = Expired and Sent' = Sent
  ownersStay
  same[none]
}

pred expire[o: Order] {
  o in Wire - Expired
  Expired' = Expired + o
  Wire' = Wire and Running' = Running and Sent' = Sent
  ownersStay
  same[none]
}

pred finish[o: Order] {
  o in Running
  Running' = Running - o
  Wire' = Wire and Expired' = Expired and Sent' = Sent
  ownersStay
  same[none]
}

-- A report of the worker keeps the orders that run or may still arrive in time, and frees the others.
pred report[i: Instance] {
  i in Believer and i in Owner
  i.busy' = i.busy & (Running + (Wire - Expired))
  ordersStay
  ownersStay
  same[i]
}

pred stutter { ordersStay and ownersStay and same[none] }

fact trace {
  always (stutter
    or (some i: Instance | takeOver[i] or gain[i] or lapse[i] or report[i])
    or (some i: Instance, o: Order | send[i, o])
    or (some o: Order | arrive[o] or expire[o] or finish[o]))
}

-- The worker never runs more tasks than it has capacity for.
pred promised { always lone Running }

check holds { Present = Safeguard implies promised } for 3 but 3 Instance, 3 Order, 1..12 steps expect 0
check withoutActsUnderLease { Present = Safeguard - ActsUnderLease implies promised } for 3 but 3 Instance, 3 Order, 1..12 steps expect 1
check withoutWaitForLapse { Present = Safeguard - WaitForLapse implies promised } for 3 but 3 Instance, 3 Order, 1..12 steps expect 1
check withoutWaitForOrders { Present = Safeguard - WaitForOrders implies promised } for 3 but 3 Instance, 3 Order, 1..12 steps expect 1
check withoutOrdersExpire { Present = Safeguard - OrdersExpire implies promised } for 3 but 3 Instance, 3 Order, 1..12 steps expect 1
check withoutReadFirst { Present = Safeguard - ReadFirst implies promised } for 3 but 3 Instance, 3 Order, 1..12 steps expect 1
run someTransfer { Present = Safeguard and eventually (some disj i, j: Instance | some by.i & Running and eventually some by.j & Running) } for 3 but 1..12 steps expect 1
