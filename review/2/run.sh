#!/bin/sh
# A write behind a large value loses its answer. TROUBLE=0: no connection is reset.
set -- "$(dirname "$0")" BehindValue
. "$(dirname "$0")/../run-case.sh"
