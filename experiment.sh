#!/bin/sh
# Runs one experiment with real processes on the loopback interface.
#   ./experiment.sh list                  list the experiments
#   ./experiment.sh NAME [--seconds N]    run one
cd "$(dirname "$0")" || exit 1
if [ ! -d standin/target/lib ] || [ ! -d daemon/target/lib ]; then
  mvn -B -q package -DskipTests || exit 1
fi
exec java -Xmx1g -cp "standin/target/classes:standin/target/lib/*" org.cottontack.standin.experiment.Main "$@"
