#!/bin/bash
# Builds every stand-in that a script starts: compiles them, and checks that they and the project's
# own can be loaded with what the build of the deploy file leaves.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
PYTHONPATH=$PWD .venv/bin/python -c '
import ironfall.cli, ironfall.coordinator.client, ironfall.disruption, ironfall.lab.agents
import review.standins.deployment, review.standins.keepers
'
