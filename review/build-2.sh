#!/bin/sh
# Builds the program that plays the cases of the second review. It holds all stand-ins that their scripts start.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2 ./review/harness-2
