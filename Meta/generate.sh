#!/usr/bin/env bash
# Regenerates the committed Thrift sources; needs the thrift compiler 0.17.
set -euo pipefail
cd "$(dirname "$0")/../Libraries/LibPeer"
thrift --gen cpp:no_skeleton,no_ostream_operators -out Generated Peer.thrift
