#!/usr/bin/env bash
# Checks the lease protocol exhaustively at small bounds, and that it breaks without the epoch.
set -euo pipefail
model=$(cd "$(dirname "$0")" && pwd)/lease.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
run() {  # prints Spin's verdict
  spin -a "$@" "$model"
  cc -O2 -w -DSAFETY -DNFAIR=3 -o pan pan.c
  ./pan -m200000
}
run > whole.txt
grep -E "states, stored|errors:" whole.txt
grep -q "errors: 0" whole.txt || { echo "the protocol can be broken"; exit 1; }
if grep -q "max search depth too small" whole.txt; then echo "not exhaustive: the search was cut"; exit 1; fi
run -DNO_EPOCH > without.txt
grep -E "errors:" without.txt
grep -q "errors: 1" without.txt || { echo "without the epoch it should break, and did not"; exit 1; }
echo "lease protocol: never begins twice; without the epoch it does"
