#include "peerlink/auth/SharedSecrets.h"

#include <sstream>

namespace cuminrail {

std::optional<SharedSecrets> SharedSecrets::fromText(const std::string &text, Reason *lastReason)
{
    SharedSecrets result;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (line.empty())
            continue;
        if (line.size() < minBytes || line.size() > maxBytes) {
            fail(lastReason, "peer secrets", "each line must have 16 to 256 characters");
            return std::nullopt;
        }
        result.secrets.push_back(line);
    }
    if (result.secrets.empty() || result.secrets.size() > 2) {
        fail(lastReason, "peer secrets", "must have one or two lines");
        return std::nullopt;
    }
    return result;
}

} // namespace cuminrail
