#!/usr/bin/env bash
# Runs Maven on a JDK of version 21 or newer.
set -euo pipefail
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
. "$here/jdk.sh"
exec mvn -B -ntp -f "$here/../pom.xml" "$@"
