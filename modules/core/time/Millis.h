#pragma once

#include <cstdint>
#include <limits>

namespace cuminrail {

/**
    A time in milliseconds: an instant of one machine's clock, or a span between two of them.

    Instants of two machines are never comparable; only spans travel between machines.

    @see Clock
*/
class Millis
{
public:
    constexpr Millis() = default;
    constexpr explicit Millis(std::int64_t count) : count_(count) { }

    /** Returns a span of whole seconds. */
    static constexpr Millis seconds(std::int64_t count) { return Millis(count * 1000); }

    /** Returns a span of whole minutes. */
    static constexpr Millis minutes(std::int64_t count) { return seconds(count * 60); }

    /** Returns an instant later than any that a clock gives. */
    static constexpr Millis never() { return Millis(std::numeric_limits<std::int64_t>::max() / 4); }

    /** Returns the number of milliseconds. */
    constexpr std::int64_t count() const { return count_; }

    /** Returns the span in seconds. */
    constexpr double toSeconds() const { return static_cast<double>(count_) / 1000.0; }

    constexpr Millis operator+(Millis other) const { return Millis(count_ + other.count_); }
    constexpr Millis operator-(Millis other) const { return Millis(count_ - other.count_); }
    constexpr Millis operator*(std::int64_t factor) const { return Millis(count_ * factor); }
    constexpr Millis operator/(std::int64_t divisor) const { return Millis(count_ / divisor); }
    Millis &operator+=(Millis other)
    {
        count_ += other.count_;
        return *this;
    }

    constexpr bool operator==(Millis other) const { return count_ == other.count_; }
    constexpr bool operator!=(Millis other) const { return count_ != other.count_; }
    constexpr bool operator<(Millis other) const { return count_ < other.count_; }
    constexpr bool operator<=(Millis other) const { return count_ <= other.count_; }
    constexpr bool operator>(Millis other) const { return count_ > other.count_; }
    constexpr bool operator>=(Millis other) const { return count_ >= other.count_; }

private:
    std::int64_t count_ = 0;
};

} // namespace cuminrail
