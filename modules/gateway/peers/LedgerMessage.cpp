#include "gateway/peers/LedgerMessage.h"

#include "membership/messages/CborArrayReader.h"

#include <vector>

namespace cuminrail {

namespace {

/** Message tags; distinct from the first element of all other messages between gateways. */
constexpr std::uint64_t ledgerTag = 0x21;
constexpr std::uint64_t receiptTag = 0x22;
constexpr std::size_t maxOwnerBytes = 128;
/** CBOR prefixes of frames with these tags: an array of four or three, a one-byte number. */
constexpr const char *ledgerStart = "\x84\x18\x21";
constexpr const char *receiptStart = "\x83\x18\x22";
constexpr std::size_t startBytes = 3;

/** Checks the prefix first: most frames are prefill messages, which must not be decoded twice. */
bool startsWith(const std::string &frame, const char *start)
{
    return frame.compare(0, startBytes, start) == 0;
}

} // namespace

std::string encodeLedgerMessage(const LedgerMessage &message)
{
    // Customer names may contain any characters, so the ledger is encoded as bytes.
    const std::vector<std::uint8_t> bytes(message.ledger.begin(), message.ledger.end());
    return encodeCbor(nlohmann::json::array(
        {ledgerTag, message.owner, message.version, nlohmann::json::binary(bytes)}));
}

std::optional<LedgerMessage> decodeLedgerMessage(const std::string &frame)
{
    const auto value = startsWith(frame, ledgerStart) ? decodeCbor(frame) : std::nullopt;
    if (!value)
        return std::nullopt;
    CborArrayReader elements(*value);
    elements.number(ledgerTag);
    LedgerMessage message;
    message.owner = elements.name(maxOwnerBytes);
    message.version = elements.number();
    message.ledger = elements.bytes(FrameLimits::bytes);
    return elements.isFullyRead() ? std::optional<LedgerMessage>(std::move(message)) : std::nullopt;
}

std::string encodeLedgerReceipt(const LedgerReceipt &receipt)
{
    return encodeCbor(nlohmann::json::array({receiptTag, receipt.owner, receipt.version}));
}

std::optional<LedgerReceipt> decodeLedgerReceipt(const std::string &frame)
{
    const auto value = startsWith(frame, receiptStart) ? decodeCbor(frame) : std::nullopt;
    if (!value)
        return std::nullopt;
    CborArrayReader elements(*value);
    elements.number(receiptTag);
    LedgerReceipt receipt;
    receipt.owner = elements.name(maxOwnerBytes);
    receipt.version = elements.number();
    return elements.isFullyRead() ? std::optional<LedgerReceipt>(std::move(receipt)) : std::nullopt;
}

} // namespace cuminrail
