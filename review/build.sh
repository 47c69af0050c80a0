#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins of the review's scripts, beside the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-standin ./review/_standin
