#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cuminrail {

/** A name that cannot be mixed up with another kind of name. */
template<typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string text) : text_(std::move(text)) { }

    /** Returns the name as it stands in settings. */
    const std::string &text() const { return text_; }
    bool isEmpty() const { return text_.empty(); }

    bool operator==(const Id &other) const { return text_ == other.text_; }
    bool operator!=(const Id &other) const { return text_ != other.text_; }
    bool operator<(const Id &other) const { return text_ < other.text_; }

    friend std::ostream &operator<<(std::ostream &out, const Id &id) { return out << id.text_; }

private:
    std::string text_;
};

using CustomerId = Id<struct CustomerTag>;
using TeamId = Id<struct TeamTag>;
using InstanceId = Id<struct InstanceTag>;
using FailureDomainId = Id<struct FailureDomainTag>;
using RegionId = Id<struct RegionTag>;
using UpstreamId = Id<struct UpstreamTag>;
using ModelId = Id<struct ModelTag>;
using RequestId = Id<struct RequestTag>;

/** Distinguishes two lives of the same instance or upstream; the later one is greater. */
using Incarnation = std::uint64_t;

/** Names one life of one upstream: a hash of its name and its start. */
using UpstreamIncarnation = std::uint64_t;

} // namespace cuminrail

template<typename Tag>
struct std::hash<cuminrail::Id<Tag>>
{
    std::size_t operator()(const cuminrail::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};
