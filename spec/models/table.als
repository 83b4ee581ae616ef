-- Operators edit one table. Entry instances read it, also from late responses, and are replaced.
module table
open util/ordering[Version]

abstract sig Safeguard {}
one sig ConditionalEdit, NeverOlder extends Safeguard {}
sig Present in Safeguard {}

sig Version {}
sig Operator { var base: lone Version, var accepted: lone Version }
sig Instance { var seen: lone Version, var answers: set Version }
one sig Store { var current: one Version }

fact init {
  Store.current = first
  no base and no accepted and no seen and no answers
}

pred operatorsStay { base' = base and accepted' = accepted }
pred instancesStay { seen' = seen and answers' = answers }

pred begin[o: Operator] {
  no o.base
  base' = base + o->Store.current
  accepted' = accepted and instancesStay and current' = current
}

pred edit[o: Operator] {
  some o.base and no o.accepted and some o.base.next
  ConditionalEdit in Present implies o.base = Store.current
  Store.current' = o.base.next
  accepted' = accepted + o->(o.base.next)
  base' = base and instancesStay
}

-- A read returns the current version of the table; its response may arrive much later.
pred read[i: Instance] {
  answers' = answers + i->Store.current
  seen' = seen and operatorsStay and current' = current
}

pred hear[i: Instance, v: Version] {
  v in i.answers
  NeverOlder in Present implies v in i.seen + i.seen.nexts + (no i.seen implies Version else none)
  seen' = seen ++ i->v
  answers' = answers - i->v
  operatorsStay and current' = current
}

pred stutter { operatorsStay and instancesStay and current' = current }

fact trace {
  always (stutter
    or (some o: Operator | begin[o] or edit[o])
    or (some i: Instance | read[i])
    or (some i: Instance, v: Version | hear[i, v]))
}

pred noLostEdit { always all v: Version | lone accepted.v }
pred neverReverts {
  always all i: Instance | some i.seen implies i.seen' in i.seen + i.seen.nexts
}
pred promised { noLostEdit and neverReverts }

check holds { Present = Safeguard implies promised } for 3 but 4 Version, 1..12 steps expect 0
check withoutConditionalEdit { Present = Safeguard - ConditionalEdit implies promised } for 3 but 4 Version, 1..10 steps expect 1
check withoutNeverOlder { Present = Safeguard - NeverOlder implies promised } for 3 but 4 Version, 1..10 steps expect 1
run twoEdits { Present = Safeguard and eventually (some i: Instance | i.seen = first.next.next) } for 3 but 4 Version, 1..12 steps expect 1
