#!/usr/bin/env bash
# Checks the models exhaustively at small bounds, and that each breaks without its guards.
set -euo pipefail
models=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
run() {  # MODEL [-DLEFT_OUT]: prints Spin's verdict
  local model=$1
  shift
  spin -a "$@" "$models/$model.pml"
  cc -O2 -w -DSAFETY -DCOLLAPSE -DNFAIR=3 -o pan pan.c
  ./pan -m1000000
}
check() {  # MODEL GUARD...
  local model=$1
  shift
  run "$model" > whole.txt
  grep -E "states, stored|errors:" whole.txt
  grep -q "errors: 0" whole.txt || { echo "$model can be broken"; exit 1; }
  if grep -q "max search depth too small" whole.txt; then echo "not exhaustive: the search was cut"; exit 1; fi
  for guard in "$@"; do
    run "$model" "-D$guard" > without.txt
    grep -q "errors: 1" without.txt || { echo "$model should break with $guard, and did not"; exit 1; }
    echo "$model: holds; with $guard it breaks"
  done
}
check lease NO_EPOCH
check rollout NO_NUMBER SEND_FIRST
