#include "Callers.h"

#include "ReceivedResponse.h"
#include "runtime/time/BootClock.h"
#include "standin/proxy/HttpFraming.h"

#include <algorithm>
#include <chrono>
#include <map>

namespace cuminrail::soak {

namespace {

/** A withdrawn key must have stopped working this long after its withdrawal. */
constexpr Millis withdrawalBound = Millis(5000);
constexpr int socketPatienceSeconds = 5;
/** A caller leaves this long after its deadline. */
constexpr Millis leavingDelay = Millis(1000);
/** No server's answer is longer; of more bytes the first are kept. */
constexpr std::size_t longestAnswer = 256 * 1024;
constexpr std::size_t largeBody = 1024 * 1024;

bool isPromise(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/** Requests that a caller sends for one stream, the first included. */
constexpr int maxStreamCalls = 3;

/** Reads until the response is whole, the connection ends, or the time is over. */
std::string readResponse(testing::TestSocket &socket, Millis until)
{
    std::string kept;
    while (true) {
        const std::size_t length = kept.empty() ? messageLength(socket.input()) : 0;
        if (length > 0)
            return socket.take(length);
        if (!kept.empty() || socket.input().size() > longestAnswer) {
            const std::string more = socket.take(socket.input().size());
            kept = kept.empty() ? more : kept;
        }
        if (bootTime() > until || !socket.readSome())
            return kept.empty() ? socket.take(socket.input().size()) : kept;
    }
}

/** Replaces a request's body by a large one. */
std::string withLargeBody(const std::string &request)
{
    const std::size_t length = request.find("Content-Length");
    return request.substr(0, length) + "Content-Length: " + std::to_string(largeBody) + "\r\n\r\n"
        + std::string(largeBody, 'b');
}

} // namespace

Callers::Callers(std::vector<std::uint16_t> ports, int count, std::uint64_t seed)
    : ports_(std::move(ports)), count_(count), seed_(seed)
{ }

void Callers::start()
{
    for (int i = 0; i < count_; ++i)
        threads_.emplace_back([this, i] { run(i); });
}

void Callers::stop()
{
    isStopping_ = true;
    for (std::thread &thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

void Callers::run(int number)
{
    const auto random = seededRandom(seed_ * 1000 + static_cast<std::uint64_t>(number));
    testing::TestSocket socket;
    std::uint16_t gateway = 0;
    for (int count = 0; !isStopping_; ++count) {
        CallResult result;
        result.id = "r" + std::to_string(number) + "-" + std::to_string(count);
        result.kind = static_cast<CallKind>(random() % callKindNames.entries.size());
        result.customer = random() % 3 == 0 ? "south" : "north";
        if (hasPrompts && result.kind == CallKind::Stream)
            result.parts = {"first" + std::to_string(random() % 3),
                            "middle" + std::to_string(random() % 12)};
        if (!socket.isOpen() || random() % (favoured_ < 0 ? 8 : 2) == 0) {
            gateway = nextGateway(random);
            socket = testing::TestSocket::connectTo(gateway);
            if (socket.isOpen())
                socket.setTimeout(socketPatienceSeconds);
        }
        result.gateway = gateway;
        result.hasLargeBody = hasLargeBodies && random() % 3 == 0;
        call(socket, result);
        add(result);
        if (result.kind == CallKind::Stream && result.status == 200 && !result.isWhole)
            takeUp(result, random);
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % 30));
    }
}

std::uint16_t Callers::nextGateway(const RandomHook &random) const
{
    const int favoured = favoured_;
    const bool isOther = favoured < 0 || random() % 10 == 0;
    return isOther ? ports_[random() % ports_.size()] : ports_[static_cast<std::size_t>(favoured)];
}

void Callers::call(testing::TestSocket &socket, CallResult &result) const
{
    result.sentAt = bootTime();
    const auto began = std::chrono::steady_clock::now();
    const std::string path = "/" + std::string(callKindNames.name(result.kind)) + "/x";
    std::vector<std::string> parts = result.parts;
    parts.push_back(result.id);
    const std::string key = "key-" + result.customer;
    std::string request = result.parts.empty()
        ? platform::callerRequest(path, result.id, key, callPatience)
        : platform::promptRequest(path, result.id, parts, callPatience, key);
    if (!result.resumes.empty())
        request.insert(request.find("Request-Id"),
                       "Resumes: " + result.resumes
                           + "\r\nLast-Event-Id: " + std::to_string(result.resumeAfter) + "\r\n");
    if (result.hasLargeBody)
        request = withLargeBody(request);
    result.wasSent = socket.isOpen() && socket.send(request);
    if (result.wasSent)
        result.text = readResponse(socket, result.sentAt + callPatience + leavingDelay);
    result.tookMillis =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count();
    result.status = result.text.size() < 12 ? 0 : std::atoi(result.text.c_str() + 9);
    result.isWhole = result.status != 0 && messageLength(result.text) == result.text.size();
    const bool closes = result.text.find("Connection: close") != std::string::npos;
    if (!result.isWhole || closes)
        socket.close();
}

void Callers::takeUp(const CallResult &broken, const RandomHook &random)
{
    std::string streamId;
    CallResult last = broken;
    for (int i = 1; i < maxStreamCalls && !last.isWhole; ++i) {
        const auto events = receivedEvents(bodyOf(last.text));
        if (!events.empty()) {
            last.resumeAfter = events.back().number;
            // The request that brought the first event names the stream from then on.
            if (streamId.empty())
                streamId = last.id;
        }
        if (streamId.empty())
            return;
        CallResult next;
        next.id = broken.id + "." + std::to_string(i);
        next.kind = CallKind::Stream;
        next.customer = broken.customer;
        next.parts = broken.parts;
        next.resumes = streamId;
        next.resumeAfter = last.resumeAfter;
        next.gateway = ports_[random() % ports_.size()];
        testing::TestSocket socket = testing::TestSocket::connectTo(next.gateway);
        if (socket.isOpen())
            socket.setTimeout(socketPatienceSeconds);
        call(socket, next);
        add(next);
        last = std::move(next);
    }
}

void Callers::add(CallResult result)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    results_.push_back(std::move(result));
}

std::vector<CallResult> Callers::results() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return results_;
}

void StreamFigures::add(const StreamFigures &other)
{
    begun += other.begun;
    attempts += other.attempts;
    takenUp += other.takenUp;
    possible += other.possible;
    wentOn += other.wentOn;
}

bool StreamFigures::isShareKept() const
{
    constexpr int fewest = 60;
    constexpr double leastShare = 0.95;
    return possible < fewest || double(wentOn) / possible >= leastShare * begun / attempts;
}

std::string StreamFigures::text() const
{
    return "streams begun " + std::to_string(begun) + " of " + std::to_string(attempts)
        + ", went on " + std::to_string(wentOn) + " of " + std::to_string(possible) + " ("
        + std::to_string(takenUp) + " taken up)";
}

StreamFigures judgeStreams(const std::vector<CallResult> &results, const ServingHook &serving,
                           std::vector<std::string> &broken)
{
    /** The list of servers at the gateways lags by so much, and a response takes so long. */
    constexpr Millis listDelay(1500);
    constexpr Millis responseDelay(300);
    struct Seen
    {
        std::string version;
        int last = 0;
        std::uint16_t gateway = 0;
    };
    StreamFigures figures;
    std::map<std::string, Seen> streams;
    for (const CallResult &result : results) {
        if (result.kind != CallKind::Stream)
            continue;
        const auto events = receivedEvents(bodyOf(result.text));
        const bool isTakeUp = !result.resumes.empty();
        // One that had all events but the end goes on without another event.
        const bool wentOn = !events.empty() || (result.status == 200 && result.isWhole);
        Seen &seen = streams[isTakeUp ? result.resumes : result.id];
        // A gateway that was killed or stopped just then answers neither kind.
        const bool isAnswered = result.status != 0;
        const bool isPossible = isTakeUp && isAnswered
            && serving(seen.version, result.sentAt - listDelay, result.sentAt + responseDelay) >= 2;
        figures.takenUp += isTakeUp ? 1 : 0;
        figures.possible += isPossible ? 1 : 0;
        figures.wentOn += isPossible && wentOn ? 1 : 0;
        if (isPossible && !wentOn)
            figures.lost.push_back(result.id + " of " + seen.version + " begun at port "
                                   + std::to_string(seen.gateway) + ", status "
                                   + std::to_string(result.status) + " at port "
                                   + std::to_string(result.gateway));
        figures.attempts += !isTakeUp && isAnswered ? 1 : 0;
        figures.begun += !isTakeUp && wentOn ? 1 : 0;
        for (const ReceivedEvent &event : events) {
            if (seen.last > 0 && seen.version != event.version)
                broken.push_back(result.id + ": event " + std::to_string(event.number) + " of "
                                 + event.version + " in a stream of " + seen.version);
            if (event.number != seen.last + 1)
                broken.push_back(result.id + ": event " + std::to_string(event.number)
                                 + " follows event " + std::to_string(seen.last));
            seen.version = event.version;
            seen.gateway = seen.last == 0 ? result.gateway : seen.gateway;
            seen.last = event.number;
        }
    }
    return figures;
}

std::vector<std::string> judge(const std::vector<CallResult> &results,
                               const platform::ServerRequestLog &record, Millis southWithdrawnAt)
{
    std::vector<std::string> broken;
    const auto runs = record.all();
    for (const CallResult &result : results) {
        const auto found = runs.find(result.id);
        const int ran = found == runs.end() ? 0 : found->second.runs;
        const bool isRepeatable = result.kind == CallKind::Safe || result.kind == CallKind::Stream;
        if (!isRepeatable && ran > 1)
            broken.push_back(result.id + ": ran " + std::to_string(ran) + " times");
        if (!isRepeatable && isPromise(result.status) && ran > 0)
            broken.push_back(result.id + ": said not to have run, and ran");
        if (!isChunkFramed(result))
            broken.push_back(result.id + ": bytes that are no answer, in an open response");
        checkResponse(result, broken);
        if (ran > 0 && found->second.customer != result.customer)
            broken.push_back(result.id + ": ran for another customer");
        if (ran > 0 && found->second.sawKey)
            broken.push_back(result.id + ": the key reached a server");
        const bool isWithdrawn =
            result.customer == "south" && result.sentAt > southWithdrawnAt + withdrawalBound;
        if (isWithdrawn && ran > 0)
            broken.push_back(result.id + ": ran with a key that was withdrawn "
                             + std::to_string((result.sentAt - southWithdrawnAt).count())
                             + " ms before");
    }
    return broken;
}

} // namespace cuminrail::soak
