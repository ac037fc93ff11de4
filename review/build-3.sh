#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start: they are
# Python, so this only compiles them and tries their imports. Works offline.
cd "$(dirname "$0")/.." || exit 1
exec env PYTHONDONTWRITEBYTECODE=1 python3 - <<'EOF'
import pathlib
import sys

sys.path[:0] = ["review/lib3", "."]
for folder in ("lib3", "11", "12", "13", "14", "15"):
    for path in sorted(pathlib.Path("review", folder).glob("*.py")):
        compile(path.read_bytes(), str(path), "exec")
import peer_cut
import stage
from testing.soak import proxy
from testing.users_platform import http_messages
from testing.users_platform import server_standin
from testing.users_platform import store_standin

print("the stand-ins are ready")
EOF
