#include "membership/messages/CborArray.h"

#include <algorithm>

namespace cuminrail {

namespace {

const nlohmann::json &emptyArray()
{
    static const nlohmann::json empty = nlohmann::json::array();
    return empty;
}

/** Looks through a frame without building a value; stops at the first thing out of bounds. */
class BoundsCheck : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit BoundsCheck(std::size_t mostElements) : mostElements_(mostElements) { }

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
        return size <= mostElements_ && depth_ <= FrameLimits::depth && count();
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
    bool count() { return ++elements_ <= mostElements_; }

    std::size_t mostElements_;
    std::size_t depth_ = 0;
    std::size_t elements_ = 0;
};

} // namespace

std::optional<nlohmann::json> decodeCbor(const std::string &frame, const CborBounds &bounds)
{
    using nlohmann::json;
    if (frame.size() > bounds.bytes)
        return std::nullopt;
    BoundsCheck check(bounds.elements);
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

CborArray::CborArray(const nlohmann::json &value)
    : value_(value.is_array() ? value : emptyArray()), good_(value.is_array())
{ }

const nlohmann::json *CborArray::next()
{
    if (good_ && place_ < value_.size())
        return &value_[place_++];
    good_ = false;
    return nullptr;
}

std::uint64_t CborArray::number(std::uint64_t maximum)
{
    const nlohmann::json *element = next();
    if (element == nullptr || !element->is_number_unsigned()
        || element->get<std::uint64_t>() > maximum) {
        good_ = false;
        return 0;
    }
    return element->get<std::uint64_t>();
}

bool CborArray::boolean()
{
    const nlohmann::json *element = next();
    if (element == nullptr || !element->is_boolean()) {
        good_ = false;
        return false;
    }
    return element->get<bool>();
}

std::string CborArray::name(std::size_t maximum, bool mayBeEmpty)
{
    const nlohmann::json *element = next();
    if (element == nullptr || !element->is_string()) {
        good_ = false;
        return {};
    }
    const auto &text = element->get_ref<const std::string &>();
    const bool isPrintable =
        std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
    if (!isPrintable || text.size() > maximum || (text.empty() && !mayBeEmpty)) {
        good_ = false;
        return {};
    }
    return text;
}

std::string CborArray::bytes(std::size_t maximum)
{
    const nlohmann::json *element = next();
    if (element == nullptr || !element->is_binary() || element->get_binary().size() > maximum) {
        good_ = false;
        return {};
    }
    const auto &binary = element->get_binary();
    return {binary.begin(), binary.end()};
}

const nlohmann::json &CborArray::list(std::size_t maximum)
{
    const nlohmann::json *element = next();
    if (element == nullptr || !element->is_array() || element->size() > maximum) {
        good_ = false;
        return emptyArray();
    }
    return *element;
}

} // namespace cuminrail
