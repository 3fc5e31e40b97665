#!/usr/bin/env bash
# Builds the stand-ins of the script cases; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:-options -encoding UTF-8 -d target/review review/standin/*.java
