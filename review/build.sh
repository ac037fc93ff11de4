#!/bin/sh
# Builds what the scripts of the cases start: Python stand-ins, which need no
# package beside the standard library. The routers use target/deps, which the
# build line of deploy/system.toml makes.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review testing/soak/proxy.py \
    testing/users_platform/http_messages.py \
    testing/users_platform/server_standin.py \
    testing/users_platform/store_standin.py
python3 -c "
import sys
sys.path.insert(0, '.')
sys.path.insert(0, 'review/lib')
import world
"
