#!/usr/bin/env bash
# Usage: review/3/run.sh, after the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
java -Xmx256m -cp target/review CancelAtShutdown "$here" "$work" 2> "$work/errors.txt"
code=$?
if [ "$code" -gt 2 ]; then
  cat "$work/errors.txt" >&2
  code=2
fi
exit "$code"
