#!/bin/sh
# Builds the stand-ins that the scripts of review/9 to review/13 start. Run it after the build command
# of the deploy file, from any folder.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp "target/deploy/lib/*" review/standins-3/*.java
