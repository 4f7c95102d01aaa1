#include "core/guards/Guards.h"
#include "net/upstream/UpstreamConnection.h"

#include <utility>

namespace cuminrail::detail {

namespace {

/** Most bytes of earlier requests' responses that are read over while a response is awaited. */
constexpr std::size_t maxStrayBytes = 256 * 1024;
constexpr std::size_t maxStrays = 8;
/** How long the rest of a second response may take whose beginning completed the first one. */
constexpr Millis settleTime = Millis(300);
/** The same if only the last byte may be another response's: honest bodies end like that, too. */
constexpr Millis shortSettleTime = Millis(100);

} // namespace

bool UpstreamConnection::canTellResponseOf(const UpstreamRequest &request) const
{
    if (requests_ == 0)
        return true;
    return !request.isHead && !request.identityHeader.empty()
        && !sentIdentities_.contains(request.requestId);
}

bool UpstreamConnection::acceptHead()
{
    HttpHead &head = parser_->head();
    if (head.status >= 100 && head.status < 200)
        return skipInterim();
    // A late response to an earlier request, or one that the upstream mixed up with another
    // caller's, is complete and well-formed. Only its identity shows that it belongs to another
    // request.
    const Owner owner = ownerOf(head);
    const bool isBare = head.find(request_.identityHeader) == nullptr;
    if (owner != Owner::Request) {
        noteStray(isBare ? StrayPlace::NoIdentity : StrayPlace::OtherIdentity, input_.size());
    }
    isStray_ = owner == Owner::EarlierRequest && canDiscard(head);
    if (owner != Owner::Request && !isStray_ && guardEnabled(Guard::AnswerIdentityChecked)) {
        const auto attempt = attempt_;
        if (isBare && hooks_.onUnidentifiedHead)
            hooks_.onUnidentifiedHead(head);
        if (attempt != attempt_ || state_ != State::Receiving)
            return false;
        end(UpstreamEndKind::WrongIdentity, {address_, "response belongs to another request"});
        return false;
    }
    isHeadAccepted_ = true;
    isIdentified_ = head.find(request_.identityHeader) != nullptr;
    if (!request_.identityHeader.empty())
        embedded_.emplace(request_.identityHeader, [this](std::string_view identity) {
            return sentIdentities_.contains(identity);
        });
    if (isStray_) {
        beginStray();
        return state_ == State::Receiving;
    }
    if (isCutAt(SendPoint::AfterResponseHead)) {
        end(UpstreamEndKind::Broken, {address_, "cut after the response's head"});
        return false;
    }
    const auto attempt = attempt_;
    if (hooks_.onHead)
        hooks_.onHead(head);
    return attempt == attempt_ && state_ == State::Receiving;
}

bool UpstreamConnection::skipInterim()
{
    if (parser_->head().status == 101) {
        end(UpstreamEndKind::Malformed,
            {address_, "switches protocols without a request to do so"});
        return false;
    }
    newParser();
    return true;
}

UpstreamConnection::Owner UpstreamConnection::ownerOf(const HttpHead &head) const
{
    const std::string *echo = head.find(request_.identityHeader);
    if (echo == nullptr)
        return requests_ == 1 && !request_.isEchoRequired ? Owner::Request : Owner::Unknown;
    if (head.count(request_.identityHeader) > 1)
        return Owner::Unknown;
    if (*echo == request_.requestId)
        return Owner::Request;
    return sentIdentities_.contains(*echo) ? Owner::EarlierRequest : Owner::Unknown;
}

bool UpstreamConnection::canDiscard(const HttpHead &head) const
{
    // A response that ends with its connection leaves none to go on with.
    const bool hasEnd = parser_->isDone() || head.find("Content-Length") != nullptr
        || head.find("Transfer-Encoding") != nullptr;
    return hasEnd && parser_->isKeepAlive();
}

void UpstreamConnection::onBody(std::string_view data)
{
    if (!isSpliced_ && embedded_ && embedded_->feed(data)) {
        isSpliced_ = true;
        noteStray(StrayPlace::InsideBody, data.size());
    }
    if (!isSpliced_ && !isStray_ && hooks_.onBody)
        hooks_.onBody(data);
}

void UpstreamConnection::beginStray()
{
    if (++strays_ == 1)
        ownDueAt_ = pool_.deadlines_.now() + request_.timeouts.firstByte;
    if (strays_ > maxStrays)
        end(UpstreamEndKind::WrongIdentity, {address_, "too many responses to earlier requests"});
}

bool UpstreamConnection::readOverStray(std::size_t size)
{
    strayBytes_ += size;
    if (strayBytes_ > maxStrayBytes) {
        end(UpstreamEndKind::WrongIdentity,
            {address_, "too long a response to an earlier request"});
        return false;
    }
    if (parser_->isDone()) {
        newParser();
        deadline_.setAt(std::min(ownDueAt_, endsAt_));
        return true;
    }
    if (size > 0 && !input_.empty())
        return true;
    read();
    return false;
}

void UpstreamConnection::endSpliced()
{
    noteStray(StrayPlace::InsideBody, input_.size());
    end(UpstreamEndKind::Spliced, {address_, "another response begins in the body"});
}

bool UpstreamConnection::settleEnd(bool isTimeOver)
{
    const bool isDoubtful =
        embedded_ && (embedded_->pendingBytes() > 0 || embedded_->hasBareHead());
    if (!isDoubtful)
        return false;
    const EmbeddedHead::Behind behind = embedded_->examineBehind(input_);
    if (behind == EmbeddedHead::Behind::Head) {
        endSpliced();
        return true;
    }
    if (behind == EmbeddedHead::Behind::NoHead || isTimeOver)
        return false;
    const bool isLastByteAlone = embedded_->pendingBytes() == 1 && !embedded_->hasBareHead();
    if (!std::exchange(isSettling_, true))
        expectWithin(isLastByteAlone ? shortSettleTime : settleTime);
    read();
    return true;
}

void UpstreamConnection::noteStray(StrayPlace place, std::size_t bytes)
{
    StrayResponse stray;
    stray.place = place;
    stray.address = address_;
    stray.expected = request_.requestId;
    stray.requests = requests_;
    stray.bytes = bytes;
    if (place == StrayPlace::OtherIdentity || place == StrayPlace::NoIdentity) {
        const std::string *found = parser_->head().find(request_.identityHeader);
        stray.found = found == nullptr ? std::string() : *found;
        stray.status = parser_->head().status;
    }
    if (place == StrayPlace::InsideBody)
        stray.found = embedded_->identity();
    pool_.noteStray(stray);
}

} // namespace cuminrail::detail
