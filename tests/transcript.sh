#!/usr/bin/env bash
# Compares what nodes do, seen from outside, between two builds: the whole-node tests write a
# transcript of every message to and from users, workers, cloud, state service and between nodes,
# with its simulated time (tests/support/transcript.h). It is a tool for changes that must not change
# behaviour, and no part of CI, as libm differs between machines.
#
#   tests/transcript.sh record DIR [BUILD]   writes the transcripts of the tests in BUILD/tests to DIR
#   tests/transcript.sh compare DIR [BUILD]  plays them again and shows the first difference
#   tests/transcript.sh check                compares with $LL_TRANSCRIPT_REFERENCE
#
# BUILD is "target" unless given; it is built first. JOBS plays run at once (2). TESTS names the tests to play.
set -eu
cd "$(dirname "$0")/.."
TESTS=${TESTS:-"test_node_failures test_scheduling test_message_faults test_partitions_and_outages test_restarts
    test_record_pages test_user_responses test_cancellations_in_outages test_combined_leader_changes
    test_combined_machine_failures test_combined_user_requests test_gangs test_gang_restarts
    test_gang_failures test_job_dependencies test_upgrade test_load_fairness test_role_pauses test_role_handover
    test_role_feature_switch test_role_returns"}
JOBS=${JOBS:-2}
verb=${1:-check}

play() { # DIR BUILD
    cmake --build "$2" -j"$JOBS" >/dev/null
    mkdir -p "$1"
    export LL_OUT=$1 LL_BUILD=$2
    # shellcheck disable=SC2016
    for name in $TESTS; do
        printf '%s plain\n%s roles\n' "$name" "$name"
    done | xargs -L 1 -P "$JOBS" bash -c '
        [ "$1" = roles ] && export LL_TEST_DUTIES=1
        LL_TRANSCRIPT=$LL_OUT/$0.$1 "$LL_BUILD/tests/$0" >"$LL_OUT/$0.$1.log" 2>&1 ||
            { echo "FAILED: $0 $1"; exit 1; }'
}

case $verb in
record)
    play "$2" "${3:-target}"
    ;;
compare | check)
    reference=${2:-${LL_TRANSCRIPT_REFERENCE:?names the folder that record wrote}}
    out=$(mktemp -d)
    trap 'rm -rf "$out"' EXIT
    play "$out" "${3:-target}"
    status=0
    for name in $TESTS; do
        for mode in plain roles; do
            if [ ! -e "$reference/$name.$mode" ]; then
                status=1
                echo "not recorded: $name $mode"
            elif ! cmp -s "$reference/$name.$mode" "$out/$name.$mode"; then
                status=1
                echo "differs: $name $mode"
                diff "$reference/$name.$mode" "$out/$name.$mode" | head -4 | cut -c 1-600
            fi
        done
    done
    [ $status = 0 ] && echo "transcripts equal"
    exit $status
    ;;
*)
    sed -n '2,11p' "$0"
    exit 2
    ;;
esac
