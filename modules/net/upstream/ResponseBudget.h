#pragma once

#include <cstddef>
#include <limits>
#include <utility>

namespace cuminrail {

/**
    Memory for what is kept of responses while they arrive, shared by all requests of a pool: bodies
    that are buffered whole, heads, and parts that are not whole yet.
*/
class ResponseBudget
{
public:
    /** Longest response that is buffered. */
    static constexpr std::size_t maxResponseBytes = 16U << 20U;
    /** Not counted of each response, so that a few long ones do not displace the usual ones. */
    static constexpr std::size_t freeBytes = 8U << 10U;
    /** The same of what a connection keeps of a response besides. */
    static constexpr std::size_t freePartBytes = 2U << 10U;

    explicit ResponseBudget(std::size_t limit = std::numeric_limits<std::size_t>::max())
        : limit_(limit)
    { }

    std::size_t used() const { return used_; }

private:
    friend class ResponseShare;

    bool take(std::size_t bytes, bool isPart)
    {
        if (bytes > limit_ - used_ || (isPart && bytes > limit_ / 2 - usedByParts_))
            return false;
        used_ += bytes;
        usedByParts_ += isPart ? bytes : 0;
        return true;
    }
    void release(std::size_t bytes, bool isPart)
    {
        used_ -= bytes;
        usedByParts_ -= isPart ? bytes : 0;
    }

    std::size_t limit_;
    std::size_t used_ = 0;
    std::size_t usedByParts_ = 0;
};

/** The share of the budget that one response takes, released by the destructor. */
class ResponseShare
{
public:
    explicit ResponseShare(std::size_t freeBytes = ResponseBudget::freeBytes) : free_(freeBytes) { }
    ~ResponseShare() { shrinkTo(0); }
    ResponseShare(ResponseShare &&other) noexcept
        : budget_(other.budget_), free_(other.free_), bytes_(std::exchange(other.bytes_, 0)),
          isPart_(other.isPart_)
    { }
    ResponseShare &operator=(ResponseShare &&other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(free_, other.free_);
        std::swap(bytes_, other.bytes_);
        std::swap(isPart_, other.isPart_);
        return *this;
    }
    ResponseShare(const ResponseShare &) = delete;
    ResponseShare &operator=(const ResponseShare &) = delete;

    /** Makes room for a response of this length. Returns false if the budget is exceeded. */
    bool growTo(ResponseBudget &budget, std::size_t responseBytes)
    {
        return counted(responseBytes) <= bytes_ || take(budget, counted(responseBytes), false);
    }

    /**
        Sets what a head, or a part that is not whole yet, takes. Returns false if the budget, or
        the half of it that such parts may use, is exceeded.
    */
    bool setToPart(ResponseBudget &budget, std::size_t partBytes)
    {
        if (counted(partBytes) > bytes_)
            return take(budget, counted(partBytes), true);
        shrinkTo(counted(partBytes));
        return true;
    }

private:
    std::size_t counted(std::size_t bytes) const { return bytes > free_ ? bytes - free_ : 0; }

    bool take(ResponseBudget &budget, std::size_t bytes, bool isPart)
    {
        if (isPart != isPart_)
            shrinkTo(0);
        if (!budget.take(bytes - bytes_, isPart))
            return false;
        budget_ = &budget;
        isPart_ = isPart;
        bytes_ = bytes;
        return true;
    }

    void shrinkTo(std::size_t bytes)
    {
        if (budget_ != nullptr)
            budget_->release(bytes_ - bytes, isPart_);
        bytes_ = bytes;
    }

    ResponseBudget *budget_ = nullptr;
    std::size_t free_;
    std::size_t bytes_ = 0;
    bool isPart_ = false;
};

} // namespace cuminrail
