#!/bin/sh
# Runs one experiment over real processes on loopback: ./experiment.sh list, ./experiment.sh NAME [--seconds N]
cd "$(dirname "$0")" || exit 1
if [ ! -d standin/target/lib ] || [ ! -d daemon/target/lib ]; then
  mvn -B -q package -DskipTests || exit 1
fi
exec java -Xmx1g -cp "standin/target/classes:standin/target/lib/*" org.cottontack.standin.experiment.Main "$@"
