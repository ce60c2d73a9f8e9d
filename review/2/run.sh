#!/bin/sh
# A write that has run is taken for rejected, and refused or run again. TROUBLE=0: no answer is spoilt.
set -- "$(dirname "$0")" CopyAndWrongId
. "$(dirname "$0")/../run-case.sh"
