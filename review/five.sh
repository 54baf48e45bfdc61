#!/usr/bin/env bash
# Runs a case five times with and five times without its disruption, and prints the exit codes.
# Usage: review/five.sh N
cd "$(dirname "$0")" || exit 2
for trouble in 1 0; do
    codes=()
    for _ in 1 2 3 4 5; do
        TROUBLE=$trouble "$1/run.sh" >/dev/null 2>&1
        codes+=($?)
    done
    echo "case $1, TROUBLE=$trouble: ${codes[*]}"
done
