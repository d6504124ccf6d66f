#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run.
set -uo pipefail
folder="$(cd "$1" && pwd)"
cd "$folder/../.."
if [ ! -d target/review-3 ] || [ ! -f target/entry.args ]; then
  echo "run the build of the deploy file and review/build-3.sh first" >&2
  exit 2
fi
timeout -k 5 115 target/jdk/bin/java -Xmx512m -cp target/review-3 "$2" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
