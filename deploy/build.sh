#!/bin/sh
# Builds what runs on the platform into target/deploy, with an archive of loaded classes that
# shortens the start of a process.
set -eu
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests -Dcheckstyle.skip -Dspotless.check.skip -pl platform -am package
out=target/deploy
rm -rf "$out"
mkdir -p "$out/lib"
cp platform/target/lib/*.jar "$out/lib/"
cp platform/target/cottontack-platform-*.jar "$out/cottontack.jar"
