#!/usr/bin/env bash
# Prints the rows of docs/SETTINGS.md's tables from the code, for pasting after an entry changed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
source=$(mktemp --suffix=.cpp)
trap 'rm -f "$source" "$source.out"' EXIT
cat >"$source" <<'CPP'
#include "settings/fields/FieldTables.h"
#include <iostream>
int main()
{
    for (const cuminrail::SettingsPageRow &row : cuminrail::settingsPageRows())
        std::cout << cuminrail::toMarkdown(row) << "\n";
}
CPP
g++ -std=c++17 -Imodules "$source" "$build/modules/libcuminrail_settings.a" -o "$source.out"
"$source.out"
