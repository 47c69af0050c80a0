#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins and scripts of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review2 ./review/_standin2
