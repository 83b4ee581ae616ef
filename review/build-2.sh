#!/bin/sh
# Compiles the stand-ins and cases 4 to 8 into target/review-2. Needs the build of the deploy file
# only to run a case, not here.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/common-2 review/4 review/5 review/6 review/7 review/8 -name '*.java' 2> /dev/null \
  > target/review-2/sources || true
javac -d target/review-2 @target/review-2/sources
