#!/usr/bin/env bash
# Fails when a name of the users' platform stands outside the folder that translates it. A name that
# spreads makes the product depend on one platform's words, and each use decodes it anew.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Duty-Holder|Fence-Token|Prompt-Prefix|Kv-Source|Kv-Hold|Kv-Backup|Kv-Fetch|kvHandle|Expect-Instance|Response-Stamp|Token-Count|Not-Executed|Request-Priority|Server-Limit|Server-Leaving|Store-Era|CUMINRAIL_BOOT|listen\.front|zonePrices|pathPrefix|gapGoalMs|currentRev|waitMs|/v1/objects|/v1/order|/v1/report'
if grep -rnE "\"[^\"]*($names)" modules programs --include='*.h' --include='*.cpp'; then
  echo "names of the platform's wire outside platform/ (lines above)"
  exit 1
fi
