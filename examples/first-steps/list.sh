#!/usr/bin/env bash
# Adds the targets of the first steps to the host list of the platform stand-in.
set -euo pipefail
platform=${1:-127.0.0.1:8000}

list() {
    curl -sf -X PUT "http://$platform/v1/list/$1" -d "{\"id\": \"$1\", \"role\": \"$2\", \"region\": \"near\",
        \"failure_domain\": \"domain-1\", \"address\": \"$3\", \"state\": \"live\", \"serves\": [\"$4\"],
        \"checks_epochs\": true}"
}

list engine-1 engine 127.0.0.1:9101 quotes
list engine-2 engine 127.0.0.1:9102 quotes
list order-desk-1 service 127.0.0.1:9201 order-desk
