#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/deploy/cottontack.jar ] && [ -f target/review-3/PendingCount.class ] || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec java -cp "target/review-3:target/deploy/lib/*" PendingCount review/12
