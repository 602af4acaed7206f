#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out; the runner reads it from the environment.
here="$(cd "$(dirname "$0")" && pwd)"
repository="$(cd "$here/../.." && pwd)"
folder="$(mktemp -d)" || exit 2

# Ends what is left of the processes that this run has started, should the runner have been stopped.
clean_up() {
  [ -n "${runner:-}" ] && kill "$runner" 2>/dev/null
  while read -r pid; do
    case "$(readlink "/proc/$pid/exe" 2>/dev/null)" in
      "$repository"/target/release/platform-*) kill -KILL "$pid" ;;
    esac
  done 2>/dev/null <"$folder/pids"
  rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

timeout -k 2 110 "$repository/target/review/release/review_cases" late-copy \
  "$repository" "$folder" "$here/record.txt" &
runner=$!
wait "$runner"
code=$?
runner=
[ "$code" -gt 2 ] && code=2
exit "$code"
