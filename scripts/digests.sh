#!/usr/bin/env bash
# Plays the days that ship in virtual time and prints a table: day, seed, digest, main figures. The same seed gives the
# same digest on one build, whatever the threads; a change of names, of files or of structure must not change it.
#
#   scripts/digests.sh            prints the table
#   scripts/digests.sh --write    writes it to docs/design/digests.txt
#   scripts/digests.sh --check    compares with that file; exit code 1 and the difference if a line differs
#
# LOOMLB_LAB names the program (default: the release build, which is built first); DAYS and SEEDS pick a part.
set -euo pipefail
cd "$(dirname "$0")/.."

table=docs/design/digests.txt
at_once=4
seeds=${SEEDS:-1 7}
# Too long for this table: played by hand where a change may concern them.
left_out="huge"
days=${DAYS:-$(ls crates/lab/days | sed 's/\.toml$//' | grep -vxF "$left_out")}

lab=${LOOMLB_LAB:-}
if [ -z "$lab" ]; then
    cargo build --release --locked --package loomlb-lab >&2
    lab=target/release/loomlb-lab
fi

# One line: a day with a seed. A day with violations ends with exit code 1; its line tells of them.
play() {
    local said
    said=$("$lab" simulate "$1" --seed "$2" 2>/dev/null) || [ -n "$said" ]
    figure() { sed -n "s/^$1  *//p" <<<"$said" | head -1; }
    printf '%-18s %2s  %s  requests %s, in time %s, p99 %s, service %s, attempts %s, violations %s\n' "$1" "$2" \
        "$(figure digest)" "$(figure requests)" "$(figure 'served in time')" "$(figure p99)" "$(figure service)" \
        "$(figure attempts)" "$(figure breaches)"
}
export -f play
export lab

rows=$(for day in $days; do for seed in $seeds; do printf '%s %s\n' "$day" "$seed"; done; done |
    xargs -P "$at_once" -L 1 bash -c 'play "$0" "$1"' | sort)

case ${1:-} in
    --write) printf '%s\n' "$rows" >"$table" ;;
    --check)
        # Only the lines of the days that were played are compared.
        recorded=$(awk 'NR == FNR { played[$1 " " $2]; next } ($1 " " $2) in played' <(printf '%s\n' "$rows") "$table")
        diff <(printf '%s\n' "$recorded") <(printf '%s\n' "$rows")
        ;;
    '') printf '%s\n' "$rows" ;;
    *) echo "usage: scripts/digests.sh [--write | --check]" >&2; exit 2 ;;
esac
