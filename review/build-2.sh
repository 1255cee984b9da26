#!/bin/sh
# Builds what the cases 6 to 10 start: the project's program with all its parts, and the drivers with the stand-ins.
set -e
cd "$(dirname "$0")/.."
cmake -B build-review-2 -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF
cmake --build build-review-2 -j4 --target woadtide_dispatcher
for number in 6 7 8 9 10; do
  source=review/$number/drive.cpp
  [ -f "$source" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/case-$number" "$source"
done
