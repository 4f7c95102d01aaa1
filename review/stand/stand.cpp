#include "stand.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand {

namespace {

const auto startedAt = std::chrono::steady_clock::now();

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool sameName(const std::string &one, const std::string &other)
{
    return strcasecmp(one.c_str(), other.c_str()) == 0;
}

/** Splits a head into its first line and its fields. */
bool parseHead(const std::string &head, Message &message)
{
    std::size_t begin = 0;
    bool isFirst = true;
    while (begin < head.size()) {
        const auto end = head.find("\r\n", begin);
        if (end == std::string::npos)
            return false;
        const std::string line = head.substr(begin, end - begin);
        begin = end + 2;
        if (line.empty())
            return !isFirst;
        if (isFirst) {
            message.start = line;
            isFirst = false;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        std::string value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
            value.erase(0, 1);
        message.headers.push_back({line.substr(0, colon), value});
    }
    return false;
}

std::string find(const std::vector<Header> &headers, const std::string &name)
{
    for (const Header &each : headers) {
        if (sameName(each.name, name))
            return each.value;
    }
    return {};
}

std::optional<std::uint64_t> queryNumber(const std::string &target, const std::string &name)
{
    for (const char mark : {'?', '&'}) {
        const auto at = target.find(mark + name + "=");
        if (at != std::string::npos)
            return std::strtoull(target.c_str() + at + name.size() + 2, nullptr, 10);
    }
    return std::nullopt;
}

} // namespace

std::int64_t now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - startedAt)
        .count();
}

void sleepMs(std::int64_t millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

Record::Record(const std::string &path) : file_(std::fopen(path.c_str(), "w")) { }

Record::~Record()
{
    if (file_ != nullptr)
        std::fclose(file_);
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr)
        return;
    std::fprintf(file_, "%9.3f  %s\n", static_cast<double>(now()) / 1000.0, text.c_str());
    std::fflush(file_);
}

std::string Message::header(const std::string &name) const
{
    return find(headers, name);
}

bool Message::has(const std::string &name) const
{
    for (const Header &each : headers) {
        if (sameName(each.name, name))
            return true;
    }
    return false;
}

std::string Message::target() const
{
    const auto from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
}

int Message::status() const
{
    return std::atoi(start.c_str() + std::min<std::size_t>(9, start.size()));
}

Conn::~Conn()
{
    if (fd_ >= 0)
        ::close(fd_);
}

bool Conn::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

bool Conn::fill()
{
    char bytes[16384];
    const auto size = recv(fd_, bytes, sizeof bytes, 0);
    if (size > 0) {
        buffer_.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    hasEnded_ = size == 0;
    wasReset_ = size < 0 && errno == ECONNRESET;
    return false;
}

std::optional<std::string> Conn::readUntil(const std::string &mark, std::size_t most)
{
    for (;;) {
        const auto at = buffer_.find(mark);
        if (at != std::string::npos) {
            std::string bytes = buffer_.substr(0, at + mark.size());
            buffer_.erase(0, at + mark.size());
            return bytes;
        }
        if (buffer_.size() > most || !fill())
            return std::nullopt;
    }
}

std::optional<std::string> Conn::readExactly(std::size_t size)
{
    while (buffer_.size() < size) {
        if (!fill())
            return std::nullopt;
    }
    std::string bytes = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return bytes;
}

std::string Conn::readToEnd()
{
    while (fill()) { }
    return std::exchange(buffer_, {});
}

bool Conn::isClosedByPeer() const
{
    char byte = 0;
    const auto size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Conn::timeout(std::int64_t millis)
{
    const timeval time{millis / 1000, (millis % 1000) * 1000};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

void Conn::reset()
{
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    // Connecting to no address aborts the connection, which sends the reset at once.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    ::connect(fd_, &none, sizeof none);
}

void Conn::shutdownBoth()
{
    ::shutdown(fd_, SHUT_RDWR);
}

std::optional<Message> readRequest(Conn &conn)
{
    const auto head = conn.readUntil("\r\n\r\n");
    Message message;
    if (!head || !parseHead(*head, message))
        return std::nullopt;
    const std::string length = message.header("Content-Length");
    if (!length.empty()) {
        auto body = conn.readExactly(std::strtoull(length.c_str(), nullptr, 10));
        if (!body)
            return std::nullopt;
        message.body = std::move(*body);
    }
    return message;
}

std::uint16_t freePort()
{
    // Below the range of the ports that the kernel gives to connections, so that none takes it.
    static std::uint16_t next =
        static_cast<std::uint16_t>(12000 + std::random_device()() % 17000);
    for (;;) {
        next = next >= 30000 ? 12000 : static_cast<std::uint16_t>(next + 1);
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(next);
        const bool isFree =
            bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree)
            return next;
    }
}

int listenOn(std::uint16_t port, int backlog)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(fd, backlog) != 0) {
        std::fprintf(stderr, "cannot listen on %u\n", port);
        std::exit(2);
    }
    return fd;
}

int connectTo(std::uint16_t port, std::int64_t timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = loopback(port);
    int result = ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (result != 0 && errno == EINPROGRESS) {
        pollfd wait{fd, POLLOUT, 0};
        int error = ETIMEDOUT;
        socklen_t size = sizeof error;
        if (poll(&wait, 1, static_cast<int>(timeoutMs)) == 1)
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        result = error == 0 ? 0 : -1;
    }
    if (result != 0) {
        ::close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

Listener::Listener(std::uint16_t port, std::function<void(Conn &)> handle, int backlog)
    : port_(port), fd_(listenOn(port, backlog)), handle_(std::move(handle)),
      thread_([this] { run(); })
{ }

Listener::~Listener()
{
    stop();
}

void Listener::run()
{
    for (;;) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            if (isStopped_ || (errno != EINTR && errno != ECONNABORTED))
                return;
            continue;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ++active_;
        }
        std::thread([this, fd] {
            {
                Conn conn(fd);
                {
                    const std::lock_guard<std::mutex> lock(mutex_);
                    conns_.insert(&conn);
                    if (isStopped_)
                        conn.shutdownBoth();
                }
                handle_(conn);
                const std::lock_guard<std::mutex> lock(mutex_);
                conns_.erase(&conn);
            }
            const std::lock_guard<std::mutex> lock(mutex_);
            --active_;
            idle_.notify_all();
        }).detach();
    }
}

int Listener::resetSome(const std::function<bool()> &draw)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    int count = 0;
    for (Conn *conn : conns_) {
        if (draw()) {
            conn->reset();
            ++count;
        }
    }
    return count;
}

void Listener::stop()
{
    if (isStopped_.exchange(true))
        return;
    ::shutdown(fd_, SHUT_RDWR);
    thread_.join();
    ::close(fd_);
    std::unique_lock<std::mutex> lock(mutex_);
    for (Conn *conn : conns_)
        conn->shutdownBoth();
    idle_.wait_for(lock, std::chrono::seconds(5), [this] { return active_ == 0; });
}

Store::Store() = default;

std::uint16_t Store::view(std::map<std::string, std::string> replaced)
{
    const std::uint16_t port = freePort();
    listeners_.push_back(std::make_unique<Listener>(
        port, [this, port, replaced = std::move(replaced)](Conn &conn) {
            serve(conn, port, replaced);
        }));
    return port;
}

void Store::stop()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isStopped_ = true;
        changed_.notify_all();
    }
    for (const auto &listener : listeners_)
        listener->stop();
}

void Store::setBusy(std::uint16_t port, bool isBusy)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (isBusy)
        busy_.insert(port);
    else
        busy_.erase(port);
    changed_.notify_all();
}

Json Store::put(const std::string &kind, const std::string &name, const Json &spec)
{
    Json &object = objects_[kind][name];
    if (!object.is_null() && object["spec"] == spec)
        return object;
    ++rev_;
    const Json created = object.is_null() ? Json(rev_) : object["metadata"]["createdRev"];
    object = {{"metadata",
               {{"name", name},
                {"rev", rev_},
                {"createdRev", created},
                {"finalizers", Json::array()},
                {"deleting", false}}},
              {"spec", spec},
              {"status", nullptr}};
    changes_.push_back({rev_, kind, object, false});
    changed_.notify_all();
    return object;
}

std::uint64_t Store::write(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    put(kind, name, spec);
    return rev_;
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end())
        return;
    ++rev_;
    changes_.push_back({rev_, kind, found->second, true});
    objects_[kind].erase(found);
    changed_.notify_all();
}

Json Store::all(const std::string &kind)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    Json out = Json::object();
    for (const auto &[name, object] : objects_[kind])
        out[name] = object["spec"];
    return out;
}

void Store::serve(Conn &conn, std::uint16_t port,
                  const std::map<std::string, std::string> &replaced)
{
    for (;;) {
        const auto request = readRequest(conn);
        if (!request)
            return;
        std::pair<int, std::string> answer;
        bool isBusy = false;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            isBusy = busy_.count(port) > 0;
        }
        answer = isBusy ? std::pair<int, std::string>(503, "{}") : handle(*request);
        for (const auto &[from, to] : replaced) {
            for (auto at = answer.second.find(from); at != std::string::npos;
                 at = answer.second.find(from, at + to.size()))
                answer.second.replace(at, from.size(), to);
        }
        const std::string head = "HTTP/1.1 " + std::to_string(answer.first)
            + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(answer.second.size()) + "\r\n\r\n";
        if (!conn.send(head + answer.second))
            return;
        if (request->header("Connection") == "close")
            return;
    }
}

std::pair<int, std::string> Store::handle(const Message &request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string root = "/v1/objects/";
    if (path.compare(0, root.size(), root) != 0)
        return {404, "{}"};
    const std::string rest = path.substr(root.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name =
        rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
    if (const auto after = queryNumber(target, "watch"))
        return watch(kind, *after,
                     static_cast<std::int64_t>(queryNumber(target, "waitMs").value_or(0)));
    const std::lock_guard<std::mutex> lock(mutex_);
    auto &objects = objects_[kind];
    const auto found = objects.find(name);
    if (request.method() == "GET" && name.empty()) {
        Json items = Json::array();
        for (const auto &[each, object] : objects)
            items.push_back(object);
        return {200, Json{{"items", items}, {"hasMore", false}, {"currentRev", rev_}}.dump()};
    }
    if (request.method() == "GET")
        return found == objects.end() ? std::pair<int, std::string>(404, "{}")
                                      : std::pair<int, std::string>(200, found->second.dump());
    if (request.method() == "DELETE") {
        const auto rev = queryNumber(target, "rev");
        if (found == objects.end())
            return {404, "{}"};
        if (rev && Json(*rev) != found->second["metadata"]["rev"])
            return {409, found->second.dump()};
        const Json object = found->second;
        ++rev_;
        changes_.push_back({rev_, kind, object, true});
        objects.erase(found);
        changed_.notify_all();
        return {200, object.dump()};
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("metadata"))
        return {400, "{}"};
    if (request.method() == "POST") {
        const std::string created = body["metadata"].value("name", "");
        if (objects.count(created) > 0)
            return {409, objects[created].dump()};
        return {201, put(kind, created, body["spec"]).dump()};
    }
    if (found == objects.end())
        return {404, "{}"};
    if (body["metadata"].contains("rev")
        && body["metadata"]["rev"] != found->second["metadata"]["rev"])
        return {409, found->second.dump()};
    return {200, put(kind, name, body["spec"]).dump()};
}

std::pair<int, std::string> Store::watch(const std::string &kind, std::uint64_t after,
                                         std::int64_t waitMs)
{
    std::unique_lock<std::mutex> lock(mutex_);
    Json events = Json::array();
    const auto collect = [&] {
        for (const Change &each : changes_) {
            if (each.kind == kind && each.rev > after)
                events.push_back({{"object", each.object}, {"removed", each.removed}});
        }
        return isStopped_ || !events.empty();
    };
    changed_.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(waitMs, 30000)),
                      collect);
    return {200, Json{{"events", events}, {"currentRev", rev_}}.dump()};
}

Proxy::Proxy(std::uint16_t target)
{
    listener_ = std::make_unique<Listener>(freePort(), [target](Conn &inner) {
        const int fd = connectTo(target, 1000);
        if (fd < 0)
            return;
        Conn outer(fd);
        char bytes[16384];
        for (;;) {
            pollfd wait[2] = {{inner.fd(), POLLIN, 0}, {outer.fd(), POLLIN, 0}};
            if (poll(wait, 2, -1) < 0)
                return;
            for (int i = 0; i < 2; ++i) {
                if (wait[i].revents == 0)
                    continue;
                const auto size = recv(wait[i].fd, bytes, sizeof bytes, 0);
                Conn &to = i == 0 ? outer : inner;
                if (size < 0 || (size == 0 && i == 0)) {
                    // A reset, or the end of the caller: the other side hears the same.
                    if (size < 0)
                        to.reset();
                    return;
                }
                if (size == 0)
                    return;
                if (!to.send(std::string(bytes, static_cast<std::size_t>(size))))
                    return;
            }
        }
    });
}

std::string GatewaySettings::text() const
{
    const auto at = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port) + "\n"; };
    std::string seedList;
    for (const std::string &each : seeds)
        seedList += (seedList.empty() ? "" : ",") + each;
    return "nodeName=" + name + "\nrole=instance\nmachineClass=front\nserves=front,control\n"
        + "ip=127.0.0.1\nzone=" + zone + "\nregion=region-1\n"
        + "zones.zone-a=region-1\nzones.zone-b=region-1\nzones.zone-c=region-1\n"
        + "listen.front=" + at(front) + "listen.ready=" + at(ready) + "listen.control="
        + at(control) + "portRange=" + std::to_string(links) + "," + std::to_string(links + 15)
        + "\nseeds=" + seedList + "\nbootstrap=" + (bootstrap ? "true" : "false")
        + "\ncountLoss=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
          "limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n"
          "entry=vip\nbeatMs=1200\n"
          "contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,"
          "platform\ntolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\n"
          "bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n"
          "bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n"
          "bounds.configApplyMs=2000\nbounds.revertSlackMs=250\nbounds.skewMaxMs=5000\n"
          "bounds.revokeStrict=false\nbounds.revokeMs=5000\nbounds.budgetRatio=0.2\n"
          "bounds.budgetWindowS=10\nbounds.budgetExtra=52\nbounds.requireFence=false\n"
          "bounds.leaseMs=3000\nbounds.thawSlackMs=300\nbounds.reportWindowS=5\n"
          "bounds.usageOff=0.05\nbounds.usageLateS=10\nbounds.recoverS=12\n"
          "bounds.transitMs=120\nbounds.againS=9.7\n"
        + "platform.address=" + at(store)
        + "platform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\n"
          "platform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n"
        + more;
}

GatewaySettings gatewaySettings(const std::string &name, const std::string &zone,
                                std::uint16_t store)
{
    GatewaySettings settings;
    settings.name = name;
    settings.zone = zone;
    settings.front = freePort();
    settings.ready = freePort();
    settings.control = freePort();
    settings.links = freePort();
    for (int i = 1; i < 16; ++i)
        freePort();
    settings.store = store;
    return settings;
}

Gateway::Gateway(const std::string &directory, GatewaySettings settings)
    : directory_(directory), settings_(std::move(settings))
{ }

Gateway::~Gateway()
{
    if (pid_ <= 0)
        return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

void Gateway::start()
{
    const std::string path = directory_ + "/" + settings_.name + ".conf";
    std::ofstream(path) << settings_.text();
    const std::string log = directory_ + "/" + settings_.name + ".log";
    const std::string boot = "CUMINRAIL_BOOT=" + path;
    pid_ = fork();
    if (pid_ != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    char *const arguments[] = {const_cast<char *>("target/bin/cuminrail-gateway"), nullptr};
    char *const environment[] = {const_cast<char *>(boot.c_str()),
                                 const_cast<char *>("PATH=/usr/bin:/bin"),
                                 const_cast<char *>("LANG=C"), nullptr};
    execve(arguments[0], arguments, environment);
    _exit(127);
}

void Gateway::signal(int number)
{
    if (pid_ > 0)
        kill(pid_, number);
}

std::optional<std::string> Gateway::ended()
{
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_)
        return std::nullopt;
    pid_ = -1;
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit " + std::to_string(WEXITSTATUS(status));
}

bool Gateway::isReady() const
{
    return ask(settings_.ready, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 500).status == 200;
}

bool Gateway::waitReady(std::int64_t millis)
{
    const std::int64_t until = now() + millis;
    while (now() < until) {
        if (isReady())
            return true;
        sleepMs(50);
    }
    return false;
}

std::string Answer::header(const std::string &name) const
{
    return find(headers, name);
}

std::string Answer::text() const
{
    if (status == 0)
        return "no response" + (unreadable.empty() ? "" : ", unreadable: " + unreadable);
    std::string out = std::to_string(status) + (isWhole ? " whole" : " broken off");
    if (!header("Retry-After").empty())
        out += " Retry-After=" + header("Retry-After");
    if (!header("Response-Stamp").empty())
        out += " stamped";
    if (!unreadable.empty())
        out += ", unreadable: " + unreadable;
    return out;
}

Answer readAnswer(Conn &conn)
{
    Answer answer;
    const auto head = conn.readUntil("\r\n\r\n");
    Message message;
    if (!head)
        return answer;
    if (!parseHead(*head, message) || message.start.compare(0, 7, "HTTP/1.") != 0) {
        answer.unreadable = "no status line";
        return answer;
    }
    answer.status = message.status();
    answer.headers = message.headers;
    const std::string length = message.header("Content-Length");
    if (sameName(message.header("Transfer-Encoding"), "chunked")) {
        for (;;) {
            const auto line = conn.readUntil("\r\n");
            if (!line)
                return answer;
            char *end = nullptr;
            const unsigned long size = std::strtoul(line->c_str(), &end, 16);
            if (end == line->c_str() || (*end != '\r' && *end != ';')) {
                answer.unreadable = "where a chunk's size is due: " + line->substr(0, line->size() - 2);
                return answer;
            }
            const auto data = conn.readExactly(size + 2);
            if (!data)
                return answer;
            if (data->substr(size) != "\r\n") {
                answer.unreadable = "a chunk without its end";
                return answer;
            }
            if (size == 0)
                break;
            answer.body += data->substr(0, size);
        }
        answer.isWhole = true;
    } else if (!length.empty()) {
        const auto body = conn.readExactly(std::strtoull(length.c_str(), nullptr, 10));
        answer.isWhole = body.has_value();
        answer.body = body.value_or("");
    } else {
        answer.body = conn.readToEnd();
        answer.isWhole = conn.hasEnded();
    }
    return answer;
}

Answer ask(std::uint16_t port, const std::string &request, std::int64_t timeoutMs)
{
    const std::int64_t begun = now();
    const int fd = connectTo(port, 1000);
    if (fd < 0)
        return {};
    Conn conn(fd);
    conn.timeout(timeoutMs);
    Answer answer;
    if (conn.send(request))
        answer = readAnswer(conn);
    answer.tookMs = now() - begun;
    return answer;
}

std::string temporaryFolder()
{
    const char *const parent = std::getenv("REVIEW_TMP");
    std::string name = std::string(parent == nullptr ? "/tmp" : parent) + "/review-XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
        std::exit(2);
    return name;
}

bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Json serverEntry(const std::string &service, std::uint16_t port, const std::string &zone, int slots,
                 const std::string &version)
{
    static const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    return {{"service", service},
            {"address", "127.0.0.1:" + std::to_string(port)},
            {"zone", zone},
            {"version", version},
            {"slots", slots},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"seq", 1},
            {"born", born}};
}

std::string successHead(const Message &request, const std::string &type)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\nRequest-Id: "
        + request.header("Request-Id") + "\r\nResponse-Stamp: stamp." + request.header("Request-Id")
        + "\r\n";
}

std::string chunk(const std::string &data)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

} // namespace stand
