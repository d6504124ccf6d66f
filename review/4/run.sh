#!/usr/bin/env bash
# Plays the case; needs the build of the deploy file and review/build.sh. See claim.txt.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
if [ ! -e target/entry.args ] || [ ! -e target/review/review/LostReaders.class ]; then
  echo "not built: run bin/deploy-build and review/build.sh first" >&2
  exit 2
fi
export RECORD=review/4/record.txt
exec target/jdk/bin/java -cp target/review review.LostReaders
