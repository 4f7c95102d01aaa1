#include "settings/read/StrictJson.h"

#include <set>
#include <vector>

namespace cuminrail {

namespace {

/** Looks through the text without building a value; stops at the first thing it refuses. */
class StrictnessCheck : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit StrictnessCheck(std::size_t maxDepth) : maxDepth_(maxDepth) { }

    const std::string &problem() const { return problem_; }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override { return enter(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_object() override { return leave(); }
    bool end_array() override { return leave(); }

    bool key(string_t &name) override
    {
        if (!names_.back().insert(name).second)
            return refuse("name \"" + name + "\" stands twice in one object");
        return true;
    }

    bool parse_error(std::size_t position, const std::string &,
                     const nlohmann::json::exception &) override
    {
        return refuse("not valid JSON at byte " + std::to_string(position));
    }

private:
    bool enter()
    {
        names_.emplace_back();
        return names_.size() <= maxDepth_ || refuse("nested too deeply");
    }

    bool leave()
    {
        names_.pop_back();
        return true;
    }

    bool refuse(std::string problem)
    {
        problem_ = std::move(problem);
        return false;
    }

    std::size_t maxDepth_;
    std::vector<std::set<std::string>> names_;
    std::string problem_;
};

} // namespace

std::optional<nlohmann::json> parseStrictJson(const std::string &text, std::size_t maxBytes,
                                              std::size_t maxDepth, Reason *lastReason)
{
    if (text.size() > maxBytes) {
        fail(lastReason, "", "larger than " + std::to_string(maxBytes) + " bytes");
        return std::nullopt;
    }
    StrictnessCheck check(maxDepth);
    if (!nlohmann::json::sax_parse(text, &check)) {
        fail(lastReason, "", check.problem());
        return std::nullopt;
    }
    return nlohmann::json::parse(text);
}

} // namespace cuminrail
