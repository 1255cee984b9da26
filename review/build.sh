#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "build/review/case$number"
done
