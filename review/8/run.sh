#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
java -Xmx768m -Droot="$root" -cp "$root/review/stand-ins-2/target/classes" PipelinedReads "$here" </dev/null
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
