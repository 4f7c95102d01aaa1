#include "gateway/peers/LedgerMessage.h"

#include "membership/messages/CborArray.h"

#include <cstdint>
#include <vector>

namespace cuminrail {

namespace {

/** Differs from the first element of every message about books. */
constexpr std::uint64_t ledgerTag = 0x21;
constexpr std::size_t mostOwnerBytes = 128;
/** How a frame with that tag begins: an array of three, a number of one byte. */
constexpr const char *ledgerStart = "\x83\x18\x21";
constexpr std::size_t ledgerStartBytes = 3;

} // namespace

std::string encodeLedgerMessage(const LedgerMessage &message)
{
    // Customers' names may hold any characters, so the ledger goes as bytes.
    const std::vector<std::uint8_t> bytes(message.ledger.begin(), message.ledger.end());
    return encodeCbor(
        nlohmann::json::array({ledgerTag, message.owner, nlohmann::json::binary(bytes)}));
}

std::optional<LedgerMessage> decodeLedgerMessage(const std::string &frame)
{
    // Most frames are about books; they are not decoded twice.
    if (frame.compare(0, ledgerStartBytes, ledgerStart) != 0)
        return std::nullopt;
    const auto value = decodeCbor(frame);
    if (!value)
        return std::nullopt;
    CborArray elements(*value);
    elements.number(ledgerTag);
    LedgerMessage message;
    message.owner = elements.name(mostOwnerBytes);
    message.ledger = elements.bytes(FrameLimits::bytes);
    return elements.isWhole() ? std::optional<LedgerMessage>(std::move(message)) : std::nullopt;
}

} // namespace cuminrail
