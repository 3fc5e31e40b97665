#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/LongRefusal.class ] || exit 2
exec java -cp target/review-2 LongRefusal review/8
