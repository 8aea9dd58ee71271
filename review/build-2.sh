#!/bin/sh
# Builds the programs of the cases 6 to 10 into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
c++ -std=c++20 -O1 -Wall -Wextra -pthread -c review/tools-2/standins.cpp -o "$out/standins.o"
for source in review/tools-2/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = standins ] && continue
  c++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" "$out/standins.o" -o "$out/$name"
done
