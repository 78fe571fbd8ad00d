#!/usr/bin/env bash
# Regenerates the committed protocol code; run it after editing peer.proto.
set -eu
cd "$(dirname "$0")/src/toucancourse/protocol"
"${PYTHON:-python3}" -m grpc_tools.protoc -I. --python_out=. \
  --grpc_python_out=. --mypy_out=. --mypy_grpc_out=. peer.proto
sed -i 's/^import peer_pb2 as/from . import peer_pb2 as/' peer_pb2_grpc.py
sed -i "s/^import peer_pb2 as/from . import peer_pb2 as/" peer_pb2_grpc.pyi
