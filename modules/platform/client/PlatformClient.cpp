#include "platform/client/PlatformClient.h"

#include "core/guards/Guards.h"
#include "net/http/HopHeaders.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace cuminrail {

namespace {

UpstreamPoolLimits ordinaryLimits()
{
    UpstreamPoolLimits limits;
    // When something on the way has forgotten the connections, each one kept costs one time-out
    // before a new one is made; so only a few are kept.
    limits.idlePerAddress = 2;
    // A watch waits on a quiet connection; whether that still leads anywhere, only probes tell.
    limits.probeAfter = Millis::seconds(1);
    limits.probeEvery = Millis::seconds(1);
    limits.unacknowledged = Millis::seconds(2);
    return limits;
}

/** Whether a call is one to an engine: these are many, and their answers short. */
bool isToEngine(PlatformCallKind kind)
{
    return kind == PlatformCallKind::EngineState || kind == PlatformCallKind::EngineOrder;
}

UpstreamPoolLimits authorityLimits()
{
    UpstreamPoolLimits limits;
    limits.idlePerAddress = 0;
    limits.unacknowledged = maxAuthoritySendInFlight;
    return limits;
}

} // namespace

/** One call under way and what has arrived of its answer. */
struct PlatformClient::Pending
{
    PlatformCompletion done;
    PlatformAnswer answer;
    UpstreamCall call;
    std::unique_ptr<Deadline> authorityEnd;
    bool isOver = false;

    void finish()
    {
        if (isOver)
            return;
        isOver = true;
        if (authorityEnd)
            authorityEnd->clear();
        const PlatformCompletion completion = std::move(done);
        completion(answer);
    }

    void giveUp(Reason reason)
    {
        answer = PlatformAnswer{0, {}, {}, call.verdictSoFar(), std::move(reason)};
        call.cancel();
        finish();
    }
};

PlatformClient::PlatformClient(boost::asio::io_context &io, DeadlineList &deadlines,
                               PlatformClientOptions options)
    : io_(io), deadlines_(deadlines), options_(std::move(options)),
      pool_(io, deadlines, ordinaryLimits()), authorityPool_(io, deadlines, authorityLimits())
{
    // The holder may have been paused between deciding and writing, and its lease taken over in
    // between. Nothing shows that to it but the clock, so the clock is asked at the last moment.
    authorityPool_.setFaultHook([this](SendPoint point, const UpstreamRequest &request) {
        return point <= SendPoint::AfterPart && isAuthorityOver(request);
    });
}

bool PlatformClient::isAuthorityOver(const UpstreamRequest &request) const
{
    const auto found = authorities_.find(request.requestId);
    return guardEnabled(Guard::AuthorityCheckedAtWrite) && found != authorities_.end()
        && deadlines_.now() >= found->second;
}

std::string PlatformClient::toWire(const PlatformCall &call, const std::string &requestId) const
{
    std::string wire = call.method + " " + call.target + " HTTP/1.1\r\n";
    wire += "Host: " + call.address + "\r\n";
    if (options_.namesItself) {
        appendHeader(wire, "X-Instance", options_.instance);
        appendHeader(wire, "X-Request-Id", requestId);
    }
    for (const HttpHeader &header : call.headers)
        appendHeader(wire, header.name, header.value);
    if (call.condition)
        wire += "If-Match: " + std::to_string(*call.condition) + "\r\n";
    if (call.notAfter)
        wire += "Connection: close\r\n";
    if (call.method != "GET") {
        wire += "Content-Type: application/json\r\n";
        wire += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    }
    return wire + "\r\n" + call.body;
}

UpstreamRequest PlatformClient::toRequest(const PlatformCall &call)
{
    UpstreamRequest request;
    request.address = call.address;
    request.requestId = options_.instance + "-" + std::to_string(++numbers_);
    request.wire = toWire(call, request.requestId);
    request.isEchoRequired = false;
    request.needsFreshConnection = call.notAfter.has_value();
    request.timeouts.connect = options_.connectTimeout;
    request.timeouts.firstByte = options_.answerTimeout + call.extraWait;
    request.timeouts.stall = options_.answerTimeout;
    request.timeouts.total = options_.connectTimeout + call.extraWait + options_.answerTimeout * 2;
    request.maxBodyBytes =
        isToEngine(call.kind) ? options_.maxEngineAnswerBytes : options_.maxAnswerBytes;
    return request;
}

void PlatformClient::call(const PlatformCall &call, PlatformCompletion done)
{
    counts_[static_cast<std::size_t>(call.kind)].fetch_add(1, std::memory_order_relaxed);
    const auto pending = std::make_shared<Pending>();
    pending->done = [this, done = std::move(done), kind = call.kind,
                     begunAt = deadlines_.now()](const PlatformAnswer &answer) {
        if (observer_)
            observer_(kind, answer.isWhole(), deadlines_.now() - begunAt);
        done(answer);
    };
    UpstreamRequest request = toRequest(call);
    if (call.notAfter)
        startUnderAuthority(std::move(request), pending, *call.notAfter);
    else
        pending->call = pool_.start(std::move(request), makeHooks(pending));
}

void PlatformClient::startUnderAuthority(UpstreamRequest request,
                                         const std::shared_ptr<Pending> &pending, Millis notAfter)
{
    const std::string id = request.requestId;
    authorities_[id] = notAfter;
    UpstreamHooks hooks = makeHooks(pending);
    hooks.onEnd = [this, id, onEnd = std::move(hooks.onEnd)](const UpstreamEnd &end) {
        authorities_.erase(id);
        onEnd(end);
    };
    pending->authorityEnd =
        std::make_unique<Deadline>(deadlines_, [this, id, weak = std::weak_ptr<Pending>(pending)] {
            authorities_.erase(id);
            if (const auto late = weak.lock())
                late->giveUp({"authority", "ended before the call was answered"});
        });
    if (guardEnabled(Guard::AuthorityCheckedAtWrite))
        pending->authorityEnd->setAt(notAfter);
    pending->call = authorityPool_.start(std::move(request), std::move(hooks));
}

void PlatformClient::later(Millis wait, std::function<void()> function)
{
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(wait.count()));
    timer->async_wait([timer, function = std::move(function), weak = std::weak_ptr<bool>(isAlive_)](
                          const boost::system::error_code &error) {
        if (!error && !weak.expired())
            function();
    });
}

void PlatformClient::closeAll()
{
    pool_.closeAll();
    authorityPool_.closeAll();
}

UpstreamHooks PlatformClient::makeHooks(const std::shared_ptr<Pending> &pending)
{
    UpstreamHooks hooks;
    hooks.onHead = [pending](const HttpHead &head) {
        pending->answer.status = head.status;
        pending->answer.headers = head.headers;
    };
    hooks.onBody = [pending](std::string_view data) { pending->answer.body.append(data); };
    hooks.onEnd = [pending](const UpstreamEnd &end) {
        if (end.kind != UpstreamEndKind::Complete)
            pending->answer = PlatformAnswer{0, {}, {}, end.verdict, end.lastReason};
        pending->answer.verdict = end.verdict;
        pending->finish();
    };
    return hooks;
}

void PlatformClient::refuse(Reason reason, PlatformCompletion done)
{
    boost::asio::post(io_, [reason = std::move(reason), done = std::move(done)] {
        done(PlatformAnswer{0, {}, {}, Verdict::NotRun, reason});
    });
}

} // namespace cuminrail
