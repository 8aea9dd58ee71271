#!/bin/sh
# Builds the stand-ins of the cases from 11 on into target/review-3. Needs the packages of
# deploy/system.toml only; the gateway is built by that file's build line.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
g++ -std=c++20 -O1 -Wall -Wextra -pthread -c review/stand-ins-3/stand_in.cpp -o "$out/stand_in.o"
for source in review/stand-ins-3/case_*.cpp; do
  name=$(basename "$source" .cpp | tr _ -)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" "$out/stand_in.o" -o "$out/$name"
done
