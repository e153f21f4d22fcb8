#!/usr/bin/env bash
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../stand-ins-2/run-case.sh"
run_case "$folder" endless_answers
