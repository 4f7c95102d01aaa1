#pragma once

#include <cstddef>
#include <utility>

namespace cuminrail {

/** Memory for responses that are buffered whole, shared by all requests of an instance. */
class ResponseBudget
{
public:
    /** Longest response that is buffered. */
    static constexpr std::size_t maxResponseBytes = 16U << 20U;
    /** Not counted of each response, so that a few long ones do not displace the usual ones. */
    static constexpr std::size_t freeBytes = 8U << 10U;

    explicit ResponseBudget(std::size_t limit) : limit_(limit) { }

    std::size_t used() const { return used_; }

private:
    friend class ResponseShare;
    std::size_t limit_;
    std::size_t used_ = 0;
};

/** The part of the budget that one response takes, released by the destructor. */
class ResponseShare
{
public:
    ResponseShare() = default;
    ~ResponseShare() { release(); }
    ResponseShare(ResponseShare &&other) noexcept
        : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0))
    { }
    ResponseShare &operator=(ResponseShare &&other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    ResponseShare(const ResponseShare &) = delete;
    ResponseShare &operator=(const ResponseShare &) = delete;

    /** Makes room for a response of this length. Returns false if the budget is exceeded. */
    bool growTo(ResponseBudget &budget, std::size_t responseBytes)
    {
        if (responseBytes <= bytes_ + ResponseBudget::freeBytes)
            return true;
        const std::size_t more = responseBytes - ResponseBudget::freeBytes - bytes_;
        if (more > budget.limit_ - budget.used_)
            return false;
        budget_ = &budget;
        budget.used_ += more;
        bytes_ += more;
        return true;
    }

private:
    void release()
    {
        if (budget_ != nullptr)
            budget_->used_ -= bytes_;
    }

    ResponseBudget *budget_ = nullptr;
    std::size_t bytes_ = 0;
};

} // namespace cuminrail
