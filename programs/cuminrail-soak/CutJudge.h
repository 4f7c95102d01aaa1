#pragma once

#include "Callers.h"
#include "StatementJudge.h"

#include <string>
#include <vector>

namespace cuminrail::soak {

/**
    Returns a line if requests sent to gateways that were cut from all servers, from 3 s after the
    cut, were served less than 0.95 times as often as those sent to the others meanwhile. Gateways
    that were asked to stop shortly before do not count, nor do times in which no gateway was sound.
   @p summary gets the figures.
*/
std::vector<std::string> judgeCuts(const std::vector<CallResult> &results,
                                   const Disturbances &disturbances, std::string &summary);

} // namespace cuminrail::soak
