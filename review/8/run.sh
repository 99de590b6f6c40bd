#!/bin/sh
# Pieces are missing in streams that clients have resumed.
# TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-case-2" LongEventIds "$(cd "$(dirname "$0")" && pwd)"
