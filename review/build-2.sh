#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: their bytecode. Run once, after the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review/standins2 review/6 review/7 review/8 review/9 review/10 || exit 2
.venv/bin/python -c 'import google.protobuf, ironfall.generated.ironfall_pb2, review.standins2.platform, review.standins2.service'
