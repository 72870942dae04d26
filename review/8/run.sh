#!/usr/bin/env bash
# Case 8. After the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, with 0 if it held, and
# with 2 if the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/release/stand-2 ] || exit 2
target/review-2/release/stand-2 forgotten-leave review/8/record.txt
