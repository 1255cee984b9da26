#!/usr/bin/env bash
# Checks the models exhaustively at small bounds, and that a violation is found without each of their guards.
set -euo pipefail
models=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
run() {  # MODEL [-DGUARD]: prints the verifier's output; -DGUARD removes a guard
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
  grep -q "errors: 0" whole.txt || { echo "$model: a property is violated"; exit 1; }
  if grep -q "max search depth too small" whole.txt; then
    echo "$model: not exhaustive, the search depth was too small"
    exit 1
  fi
  for guard in "$@"; do
    run "$model" "-D$guard" > without.txt
    grep -q "errors: 1" without.txt || { echo "$model: no violation was found with $guard"; exit 1; }
    echo "$model: holds; with $guard it breaks"
  done
}
check lease NO_EPOCH
check rollout NO_NUMBER SEND_FIRST
