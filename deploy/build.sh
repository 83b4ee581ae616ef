#!/bin/sh
# Builds the deployment into target/deploy: the jars, and a class data sharing archive that shortens
# the start of a process.
set -eu
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests -Dcheckstyle.skip -Dspotless.check.skip -pl platform -am package
out=target/deploy
rm -rf "$out"
mkdir -p "$out/lib"
cp platform/target/lib/*.jar "$out/lib/"
cp platform/target/cottontack-platform-*.jar "$out/cottontack.jar"

# A short run lists the classes that a start loads. All classes of the product and of HdrHistogram are
# added, because that run reaches no store and no workers. Its store address is its own readiness page.
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat > "$work/settings.yaml" <<'S'
name: "archive"
dataCentre: "archive"
listen:
  callers: "127.0.0.1:18461"
  readiness: "127.0.0.1:18467"
  metrics: "127.0.0.1:18468"
platform:
  store: "127.0.0.1:18467"
stop:
  graceSeconds: 2
jobs:
  keepSeconds: 120
S
flags=$(sed -n 's/^run = "java \(.*\) -Xshare.*/\1/p' deploy/system.toml)
COTTONTACK_CONFIG="$work/settings.yaml" java $flags -Xshare:off \
  -XX:DumpLoadedClassList="$work/classes" -cp "$out/cottontack.jar" org.cottontack.platform.Main \
  > "$work/log" 2>&1 &
archived=$!
sleep 3
kill "$archived" 2> /dev/null || true
wait "$archived" || true
for jar in "$out"/cottontack.jar "$out"/lib/cottontack-*.jar "$out"/lib/*[Hh]dr[Hh]istogram*.jar; do
  jar tf "$jar" | sed -n 's/\.class$//p' | grep -v package-info >> "$work/classes"
done
java $flags -Xshare:dump -XX:SharedClassListFile="$work/classes" \
  -XX:SharedArchiveFile="$out/cottontack.jsa" -cp "$out/cottontack.jar" > "$work/dump" 2>&1 \
  || { tail -5 "$work/dump" >&2; exit 1; }
java $flags -Xshare:on -XX:SharedArchiveFile="$out/cottontack.jsa" -cp "$out/cottontack.jar" \
  -version > /dev/null 2>&1 || { echo "the archive of classes cannot be used" >&2; exit 1; }
