#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx128m -Droot=. -Dsun.net.httpserver.idleInterval=300 -Dsun.net.httpserver.maxIdleConnections=1000 \
  -Dsun.net.httpserver.nodelay=true -cp review/build:target/saffronshore.jar WrongPlace
