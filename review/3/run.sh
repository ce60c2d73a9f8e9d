#!/bin/sh
# Clients that read large values slowly are cut off. TROUBLE=0: they read at full speed.
set -- "$(dirname "$0")" SlowReader
. "$(dirname "$0")/../run-case.sh"
