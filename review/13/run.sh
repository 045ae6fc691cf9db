#!/bin/sh
# The machines of a zone are killed together; flows are opened while they come back, and one of the
# machines is stopped as planned later. With TROUBLE=0 there is only the planned stop.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the
# disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3 ] && [ -x target/gypsumflowd ] || { echo "build first: see review/build-3.sh" >&2; exit 2; }
exec target/review3 twozones review/13
