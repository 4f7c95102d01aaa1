#!/usr/bin/env bash
# Fails when a decision module includes what would tie it to sockets, threads, a real clock or an
# adapter module. Decisions must run in virtual time exactly as they run in an instance.
set -euo pipefail
cd "$(dirname "$0")/.."
decision=$(sed -nE 's/^cuminrail_module\(([a-z]+) KIND decision.*/\1/p' modules/CMakeLists.txt)
adapter=$(sed -nE 's/^cuminrail_module\(([a-z]+) KIND adapter.*/\1/p' modules/CMakeLists.txt | paste -sd'|')
status=0
for module in $decision; do
  [ -d "modules/$module" ] || continue
  forbidden="#include +[<\"](boost/|websocketpp/|prometheus/|urcu|easylogging|sys/|netinet/|unistd|pthread|thread>|mutex>|shared_mutex>|condition_variable>|future>|chrono>|ctime>|time\.h|($adapter)/)"
  if grep -rnE "$forbidden" "modules/$module" --include='*.h' --include='*.cpp' | grep -v '// layer-exception:'; then
    echo "decision module $module includes what belongs to an adapter (lines above)"
    status=1
  fi
done
exit $status
