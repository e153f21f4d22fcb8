# Sourced by the scripts of the cases: runs the stand-ins of a case around the program of the deploy file.
# run_case FOLDER STAND-IN
run_case() {
    local folder=$1 stand_in=$2 root status=0
    root=$(cd "$folder/../.." && pwd)
    cd "$root" || exit 2
    RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
    local program=target/review-2/$stand_in
    if [ -z "$RUN" ] || [ ! -x "$program" ] || [ ! -x "$(cut -d' ' -f2 <<<"$RUN")" ]; then
        echo "cannot run: build by the deploy file and review/build-2.sh first"
        exit 2
    fi
    WORK=$(mktemp -d) || exit 2
    export RUN WORK RECORD="$folder/record.txt"
    timeout -k 5 115 "$program" || status=$?
    # A stand-in that was cut off may leave schedulers behind.
    if [ "$status" -gt 2 ] && [ -f "$WORK/pids" ]; then
        while read -r id; do [ -z "$id" ] || kill -KILL "$id" 2>/dev/null; done <"$WORK/pids"
    fi
    # 0, 1 and 2 are the stand-in's verdict; all else means that it did not come to one.
    case $status in 0 | 1 | 2) ;; *) echo "cannot run: the stand-in ended with $status"; status=2 ;; esac
    [ -z "${KEEP:-}" ] || cp "$WORK"/*.log "$folder"/ 2>/dev/null
    rm -rf "$WORK"
    exit "$status"
}
