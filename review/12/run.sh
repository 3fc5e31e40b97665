#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout 115 java -cp target/review-3 EarlyAnswer review/12
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
