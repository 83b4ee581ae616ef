#!/bin/bash
# Removes one safeguard at a time in a copy of the workspace, runs the tests of its module there and prints
# which tests detect the removal. Tests listed in KNOWN-RED.txt do not count, because they fail anyway.
# Exit code 0 when every removal is detected, 2 when the tests of the copy could not be run, else 1.
#   proofs/run.sh            all safeguards
#   proofs/run.sh NAME ...   only the named ones
set -u
cd "$(dirname "$0")/.."
ROOT=$(pwd)
COPY=$(mktemp -d)
trap 'rm -rf "$COPY"' EXIT
cp -r pom.xml .mvn "$COPY/"
for module in core wire adapters daemon; do
  mkdir -p "$COPY/$module"
  cp -r "$module/pom.xml" "$module/src" "$COPY/$module/"
done
sed -i '/<module>/{/core\|wire\|adapters\|daemon/!d}' "$COPY/pom.xml"
known=$(cut -f1 KNOWN-RED.txt 2>/dev/null | sed 's/ ([0-9]* cases)$//')

# Runs the tests of a module of the copy; fails when no test was run.
run_tests() {
  (cd "$COPY" && mvn -B test -pl "$1" -am -Dtest="org.cottontack.$1.**" \
    -Dsurefire.failIfNoSpecifiedTests=false -Dspotless.check.skip -Dcheckstyle.skip \
    -Dmaven.compiler.compilerArgs= >"$COPY/log" 2>&1)
  grep -q '^\[[A-Z]*\] Tests run: [1-9]' "$COPY/log"
}

unnoticed=0
while IFS=$'\t' read -r name file find put; do
  case "$name" in "" | "#"*) continue ;; esac
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  module=core
  [[ $file != *:* ]] || module=${file%%:*}
  src="$module/src/main/java/org/cottontack/$module/${file#*:}"
  if ! FIND=$find PUT=$put perl -0pe 'BEGIN { $f = $ENV{FIND}; $p = $ENV{PUT} } $n = s/\Q$f\E/$p/; die "not found" unless $n' \
    "$ROOT/$src" >"$COPY/$src" 2>/dev/null; then
    echo "$name: its text is no longer in $file"
    unnoticed=$((unnoticed + 1))
    cp "$ROOT/$src" "$COPY/$src"
    continue
  fi
  ran=true
  run_tests "$module" || ran=false
  # The name of a test with a data provider ends with the number of the data row and its first value.
  test='org\.cottontack\.[a-z]+\.[a-z]+\.[A-Za-z]+\$[A-Za-z]+\.[A-Za-z]+'
  noticed=$(grep -oE "$test(\\[[0-9]+\\]\\([^)]*\\))? --" "$COPY/log" |
    sed 's/org.cottontack.[a-z]*.[a-z]*.//; s/[[].*//; s/ --//' | sort -u |
    grep -vxF "${known:-none}" | tr '\n' ' ')
  if grep -q 'COMPILATION ERROR' "$COPY/log"; then
    echo "$name: the changed text does not compile"
    unnoticed=$((unnoticed + 1))
  elif ! $ran; then
    echo "$name: no test was run, the build failed:"
    grep -m 3 '^\[ERROR\]' "$COPY/log"
    exit 2
  elif [ -z "$noticed" ]; then
    echo "$name: NOT NOTICED by any test"
    unnoticed=$((unnoticed + 1))
  else
    echo "$name: noticed by $noticed"
  fi
  cp "$ROOT/$src" "$COPY/$src"
done <"$ROOT/proofs/safeguards.tsv"
[ "$unnoticed" -eq 0 ]
