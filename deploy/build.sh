#!/bin/sh
# Puts the pinned packages of the product where the platform looks for them.
set -eu
cd "$(dirname "$0")/.."
if [ target/deps -nt requirements.txt ]; then
    exit 0
fi
rm -rf target/deps
mkdir -p target
python3 -m pip install --quiet --require-hashes --target target/deps -r requirements.txt
touch target/deps
