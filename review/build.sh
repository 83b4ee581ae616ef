#!/bin/sh
# Builds the stand-ins and the drivers of the scripts into target/review.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/common/*.java review/[0-9]/*.java
