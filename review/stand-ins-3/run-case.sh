#!/bin/sh
# Runs a case's program. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Usage: run-case.sh NUMBER
set -u
cd "$(dirname "$0")/../.."
program=target/review-3/case-$1
[ -x "$program" ] || { echo "$program is missing: run review/build-3.sh"; exit 2; }
folder=$(mktemp -d)
timeout -s KILL 115 "$program" "$folder" "$folder/record.txt"
result=$?
cp "$folder/record.txt" "review/$1/record.txt" 2>/dev/null
rm -r "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
