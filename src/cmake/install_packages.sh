#!/usr/bin/env bash
# Installs those of the Debian packages given as arguments that are missing.
set -eu
missing=()
for package in "$@"; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -gt 0 ] || exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}" >/dev/null
