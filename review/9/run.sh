#!/usr/bin/env bash
# Plays the case "cold" against real processes of gypsumflowd. Exit code 1: the rule was
# broken; 0: it held; 2: the case couldn't run. TROUBLE=0 plays it without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/gypsumflowd ] || [ ! -x target/standin-2 ]; then
  echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
timeout -k 5 110 target/standin-2 cold target/gypsumflowd "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
