#!/bin/sh
# Prepares the stand-ins of the cases in review/6 to review/10. They are Python
# programs that need only what the build of the deploy file installs, so it
# compiles them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q \
    review/lib2 review/lib3 review/6 review/7 review/8 review/9 review/10 \
    testing/users_platform/http_messages.py \
    testing/users_platform/sample_configuration.py \
    testing/users_platform/server_standin.py \
    testing/users_platform/store_standin.py \
    testing/soak/proxy.py
