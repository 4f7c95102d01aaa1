#include "instance/request/CompletionBody.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>

namespace cuminrail {

namespace {

using Json = nlohmann::json;

/** The top-level fields of the body that are parsed. */
enum class Field : std::uint8_t {
    Other,
    Model,
    Stream,
    MaxTokens,
    MaxCompletionTokens,
    Messages,
    Prompt,
    Count,
};

Field fieldOf(const std::string &name)
{
    static const std::array<std::pair<std::string_view, Field>, 6> names{{
        {"model", Field::Model},
        {"stream", Field::Stream},
        {"max_tokens", Field::MaxTokens},
        {"max_completion_tokens", Field::MaxCompletionTokens},
        {"messages", Field::Messages},
        {"prompt", Field::Prompt},
    }};
    for (const auto &[text, field] : names) {
        if (name == text)
            return field;
    }
    return Field::Other;
}

std::string_view nameOf(Field field)
{
    switch (field) {
    case Field::Model:
        return "model";
    case Field::Stream:
        return "stream";
    case Field::MaxTokens:
        return "max_tokens";
    case Field::MaxCompletionTokens:
        return "max_completion_tokens";
    case Field::Messages:
        return "messages";
    case Field::Prompt:
        return "prompt";
    case Field::Other:
    case Field::Count:
        break;
    }
    return "body";
}

/** Handles the JSON library's parse events; depth 1 is the top-level object. */
class BodyReader final : public nlohmann::json_sax<Json>
{
public:
    explicit BodyReader(CompletionKind kind) : kind_(kind) { }

    CompletionBody body;
    Reason reason;

    bool finish()
    {
        if (!has(Field::Model))
            return refuse("model", "is missing");
        const Field text = kind_ == CompletionKind::Chat ? Field::Messages : Field::Prompt;
        if (!has(text))
            return refuse(std::string(nameOf(text)), "is missing");
        if (text == Field::Messages && messageCount_ == 0)
            return refuse("messages", "is empty");
        return true;
    }

    // NOLINTBEGIN(readability-identifier-naming): the JSON library defines these names.
    bool null() override { return checkScalar("null"); }
    bool boolean(bool value) override
    {
        if (depth_ == 1 && field_ == Field::Stream) {
            body.isStream = value;
            return true;
        }
        return checkScalar("a truth value");
    }
    bool number_integer(number_integer_t value) override
    {
        if (depth_ == 1 && isTokenLimit())
            return refuse(std::string(nameOf(field_)), "must be above 0");
        static_cast<void>(value);
        return checkScalar("a number");
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        if (depth_ == 1 && isTokenLimit())
            return setTokenLimit(value);
        return checkScalar("a number");
    }
    bool number_float(number_float_t, const string_t &) override
    {
        if (depth_ == 1 && isTokenLimit())
            return refuse(std::string(nameOf(field_)), "must be a whole number");
        return checkScalar("a number");
    }
    bool binary(binary_t &) override { return false; }
    bool string(string_t &value) override
    {
        if (depth_ == 1 && field_ == Field::Model) {
            body.model = value;
            return !value.empty() || refuse("model", "is empty");
        }
        if (isPromptText()) {
            body.promptText += value;
            return true;
        }
        return checkScalar("text");
    }
    bool start_object(std::size_t) override { return openContainer(Container::Object); }
    bool end_object() override { return closeContainer(); }
    bool start_array(std::size_t) override { return openContainer(Container::Array); }
    bool end_array() override { return closeContainer(); }
    bool key(string_t &name) override
    {
        if (depth_ == 1)
            return handleTopLevelKey(name);
        if (depth_ == 3 && field_ == Field::Messages)
            messageKey_ = name;
        return true;
    }
    bool parse_error(std::size_t position, const std::string &,
                     const nlohmann::detail::exception &) override
    {
        if (reason.what.empty())
            refuse("body", "is not UTF-8 JSON at byte " + std::to_string(position));
        return false;
    }
    // NOLINTEND(readability-identifier-naming)

private:
    enum class Container : std::uint8_t { Object, Array };

    bool refuse(std::string where, std::string what)
    {
        reason = Reason{std::move(where), std::move(what)};
        return false;
    }

    bool has(Field field) const { return seen_[static_cast<std::size_t>(field)]; }

    bool isTokenLimit() const
    {
        return field_ == Field::MaxTokens || field_ == Field::MaxCompletionTokens;
    }

    bool isPromptText() const
    {
        if (field_ == Field::Prompt)
            return depth_ == 1 || depth_ == 2;
        return field_ == Field::Messages && depth_ >= 3;
    }

    bool handleTopLevelKey(const std::string &name)
    {
        field_ = fieldOf(name);
        if (field_ == Field::Other)
            return true;
        auto &seen = seen_[static_cast<std::size_t>(field_)];
        if (seen)
            return refuse(name, "is given twice");
        seen = true;
        return true;
    }

    bool setTokenLimit(std::uint64_t value)
    {
        if (value == 0 || value > std::numeric_limits<std::uint32_t>::max())
            return refuse(std::string(nameOf(field_)), "must be above 0 and below 2^32");
        body.maxTokens = static_cast<std::uint32_t>(value);
        return true;
    }

    /** Checks a scalar value that is not stored. */
    bool checkScalar(const char *what)
    {
        if (depth_ == 0)
            return refuse("body", std::string("is ") + what + " instead of an object");
        // A null counts as an absent field, except for fields that are required.
        const bool isNull = std::string_view(what) == "null";
        const bool isNullable = field_ == Field::Stream || isTokenLimit();
        if (depth_ == 1 && field_ != Field::Other && !(isNull && isNullable))
            return refuse(std::string(nameOf(field_)), std::string("must not be ") + what);
        if (depth_ == 2 && field_ == Field::Messages)
            return refuse("messages", "must hold objects");
        if (depth_ == 3 && field_ == Field::Messages && messageKey_ == "role")
            return refuse("messages", "role must be text");
        return true;
    }

    bool openContainer(Container container)
    {
        if (++depth_ > maxJsonDepth)
            return refuse("body", "nests deeper than " + std::to_string(maxJsonDepth) + " levels");
        const bool isObject = container == Container::Object;
        if (depth_ == 1)
            return isObject || refuse("body", "is an array instead of an object");
        if (depth_ == 2)
            return openField(isObject);
        if (depth_ == 3 && field_ == Field::Messages) {
            ++messageCount_;
            messageKey_.clear();
            return isObject || refuse("messages", "must hold objects");
        }
        return true;
    }

    bool openField(bool isObject)
    {
        if (field_ == Field::Other)
            return true;
        const bool mayBeArray = field_ == Field::Messages || field_ == Field::Prompt;
        if (!isObject && mayBeArray)
            return true;
        return refuse(std::string(nameOf(field_)),
                      isObject ? "must not be an object" : "must not be an array");
    }

    bool closeContainer()
    {
        --depth_;
        return true;
    }

    CompletionKind kind_;
    std::size_t depth_ = 0;
    std::size_t messageCount_ = 0;
    Field field_ = Field::Other;
    std::string messageKey_;
    std::array<bool, static_cast<std::size_t>(Field::Count)> seen_{};
};

} // namespace

std::optional<CompletionBody> readCompletionBody(CompletionKind kind, std::string_view text,
                                                 Reason *lastReason)
{
    BodyReader reader(kind);
    reader.body.promptText.reserve(text.size());
    if (!Json::sax_parse(text.begin(), text.end(), &reader) || !reader.finish()) {
        fail(lastReason, reader.reason.where, reader.reason.what);
        return std::nullopt;
    }
    return std::move(reader.body);
}

} // namespace cuminrail
