#!/usr/bin/env bash
# run-case.sh N CLASS: runs the script case CLASS with its record in review/N. Exit status: 1 if the rule was broken,
# 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f "target/review/$2.class" ] || [ ! -f target/persimmonrelay-0.1.0-SNAPSHOT.jar ]; then
    echo "Run the build of the deploy file and review/build.sh first." >&2
    exit 2
fi
exec java -Xmx1500m -cp target/review "$2" "review/$1"
