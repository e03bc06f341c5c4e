#!/bin/sh
# Builds what the scripts of the second review start besides the entry process: the driver, which holds the stand-ins of the
# platform, the servers and the clients. It is run after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/driver-2
