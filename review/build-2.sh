#!/bin/sh
# Compiles the stand-ins and cases 4 to 7 into target/review-2. A case needs the build of the deploy
# file as well: sh deploy/build.sh
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/common-2/*.java review/[4-7]/source/*.java
