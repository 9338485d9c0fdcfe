#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-3/case_15 "$folder" review/15/record.txt
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
