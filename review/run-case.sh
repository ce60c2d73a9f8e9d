# Sourced by the cases: runs a driver, and ends what it started. Arguments: the case's folder, the
# driver's class. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -f "$root/review/build/review/$2.class" ] || [ ! -f "$root/daemon/target/shalepaddle.jar" ]; then
  echo "the deploy file's build and review/build.sh come first"
  exit 2
fi
work=$(mktemp -d)
driver=
finish() {
  [ -n "$driver" ] && kill -9 "$driver" 2>/dev/null
  [ -s "$work/node.pid" ] && kill -9 "$(cat "$work/node.pid")" 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
timeout -k 5 115 java -Xmx1g -Djava.io.tmpdir="$work" -Dpidfile="$work/node.pid" \
  -cp "$root/review/build" "review.$2" "$root" "$folder/record.txt" &
driver=$!
wait "$driver"
code=$?
driver=
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
