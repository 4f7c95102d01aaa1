#include "membership/messages/CborArrayReader.h"

#include <algorithm>

namespace cuminrail {

namespace {

const nlohmann::json &emptyArray()
{
    static const nlohmann::json empty = nlohmann::json::array();
    return empty;
}

/** Parses a frame without building a value, and stops at the first element that exceeds a limit. */
class LimitCheck : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit LimitCheck(std::size_t maxElements) : maxElements_(maxElements) { }

    bool null() override { return false; }
    bool boolean(bool) override { return count(); }
    bool number_integer(number_integer_t) override { return count(); }
    bool number_unsigned(number_unsigned_t) override { return count(); }
    bool number_float(number_float_t, const string_t &) override { return count(); }
    bool string(string_t &) override { return count(); }
    bool binary(binary_t &) override { return count(); }
    bool start_object(std::size_t) override { return false; }
    bool key(string_t &) override { return false; }
    bool end_object() override { return false; }

    bool start_array(std::size_t size) override
    {
        ++depth_;
        return size <= maxElements_ && depth_ <= FrameLimits::depth && count();
    }

    bool end_array() override
    {
        --depth_;
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const nlohmann::json::exception &) override
    {
        return false;
    }

private:
    bool count() { return ++elements_ <= maxElements_; }

    std::size_t maxElements_;
    std::size_t depth_ = 0;
    std::size_t elements_ = 0;
};

} // namespace

std::optional<nlohmann::json> decodeCbor(const std::string &frame, const CborLimits &limits)
{
    using nlohmann::json;
    if (frame.size() > limits.bytes)
        return std::nullopt;
    LimitCheck check(limits.elements);
    if (!json::sax_parse(frame, &check, json::input_format_t::cbor))
        return std::nullopt;
    json value = json::from_cbor(frame, true, false);
    if (value.is_discarded())
        return std::nullopt;
    return value;
}

std::string encodeCbor(const nlohmann::json &value)
{
    std::string frame;
    nlohmann::json::to_cbor(value, frame);
    return frame;
}

CborArrayReader::CborArrayReader(const nlohmann::json &value)
    : value_(value.is_array() ? value : emptyArray()), valid_(value.is_array())
{ }

const nlohmann::json *CborArrayReader::next()
{
    if (valid_ && position_ < value_.size())
        return &value_[position_++];
    valid_ = false;
    return nullptr;
}

std::uint64_t CborArrayReader::number(std::uint64_t maximum)
{
    const nlohmann::json *element = next();
    if (element == nullptr || !element->is_number_unsigned()
        || element->get<std::uint64_t>() > maximum) {
        valid_ = false;
        return 0;
    }
    return element->get<std::uint64_t>();
}

bool CborArrayReader::boolean()
{
    const nlohmann::json *element = next();
    if (element == nullptr || !element->is_boolean()) {
        valid_ = false;
        return false;
    }
    return element->get<bool>();
}

std::string CborArrayReader::name(std::size_t maximum, bool allowEmpty)
{
    const nlohmann::json *element = next();
    if (element == nullptr || !element->is_string()) {
        valid_ = false;
        return {};
    }
    const auto &text = element->get_ref<const std::string &>();
    const bool isPrintable =
        std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
    if (!isPrintable || text.size() > maximum || (text.empty() && !allowEmpty)) {
        valid_ = false;
        return {};
    }
    return text;
}

std::string CborArrayReader::bytes(std::size_t maximum)
{
    const nlohmann::json *element = next();
    if (element == nullptr || !element->is_binary() || element->get_binary().size() > maximum) {
        valid_ = false;
        return {};
    }
    const auto &binary = element->get_binary();
    return {binary.begin(), binary.end()};
}

const nlohmann::json &CborArrayReader::list(std::size_t maximum)
{
    const nlohmann::json *element = next();
    if (element == nullptr || !element->is_array() || element->size() > maximum) {
        valid_ = false;
        return emptyArray();
    }
    return *element;
}

} // namespace cuminrail
