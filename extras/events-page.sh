#!/usr/bin/env bash
# Prints the rows of docs/EVENTS.md from the code, for pasting after an event was added:
#   extras/events-page.sh > docs/EVENTS.md
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
source=$(mktemp --suffix=.cpp)
trap 'rm -f "$source" "$source.out"' EXIT
cat >"$source" <<'CPP'
#include "core/events/EventCatalogue.h"
#include <iostream>
int main()
{
    for (const cuminrail::EventKind *kind : cuminrail::eventCatalogue())
        std::cout << "| " << kind->number << " | " << cuminrail::eventLevelNames.name(kind->level)
                  << " | `" << kind->name << "` | " << kind->meaning << " |\n";
}
CPP
g++ -std=c++17 -Imodules "$source" modules/core/events/EventCatalogue.cpp -o "$source.out"
cat <<'HEAD'
# Events

One log line is one event: its number, name and fields. This page is checked against the code;
`extras/events-page.sh` prints it anew. Numbers are never reused.

| number | level | name | meaning |
|---|---|---|---|
HEAD
"$source.out"
