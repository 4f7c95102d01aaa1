#pragma once

/**
    Small stand-ins for the users' platform, in one header: the object store, the interface that
    takes duties, servers, a TCP proxy, clients, and the processes of a deployment.

    Plain POSIX sockets with a thread for each connection. Nothing of the project's own libraries is
    used, so that a fault of those cannot hide itself here.
*/

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <spawn.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stand {

using Json = nlohmann::json;

inline std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t span)
{
    if (span > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

/** Lines with the time since the start of the case; also written to record.txt. */
class Record
{
public:
    explicit Record(const std::string &path) : file_(path, std::ios::trunc), start_(nowMs()) { }
    void line(const char *format, ...)
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(mutex_);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f  ", double(nowMs() - start_) / 1000);
        file_ << stamp << text << "\n";
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t start_;
};

// Sockets.

inline sockaddr_in addressOf(const std::string &host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

/** Returns a listening socket, or -1; port 0 takes a free one, which is written back. */
inline int listenOn(const std::string &host, int &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = addressOf(host, port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/** Returns ports that are free on 127.0.0.1 and, as far as can be told, on other loopback IPs. */
inline int freePort()
{
    static std::set<int> given;
    for (;;) {
        int port = 0;
        const int fd = listenOn("0.0.0.0", port);
        close(fd);
        // Below the range from which the kernel takes ports for outgoing connections.
        port = 10000 + port % 20000;
        int wanted = port;
        const int probe = listenOn("0.0.0.0", wanted);
        if (probe < 0)
            continue;
        close(probe);
        if (given.insert(port).second)
            return port;
    }
}

inline int connectTo(const std::string &host, int port, int timeoutMs = 1000)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = addressOf(host, port);
    connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    pollfd question{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&question, 1, timeoutMs) != 1
        || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t done = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (done <= 0)
            return false;
        sent += static_cast<std::size_t>(done);
    }
    return true;
}

// HTTP.

inline std::string lower(std::string text)
{
    for (char &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

struct Message
{
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string header(const std::string &name) const
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto begin = start.find(' ') + 1;
        return start.substr(begin, start.find(' ', begin) - begin);
    }
};

/** Reads one message that has a Content-Length or no body. Returns false at the end. */
inline bool readMessage(int fd, std::string &input, Message &message)
{
    message = {};
    char chunk[16384];
    std::size_t end = 0;
    while ((end = input.find("\r\n\r\n")) == std::string::npos) {
        const ssize_t got = recv(fd, chunk, sizeof chunk, 0);
        if (got <= 0)
            return false;
        input.append(chunk, static_cast<std::size_t>(got));
    }
    std::size_t at = input.find("\r\n");
    message.start = input.substr(0, at);
    while (at < end) {
        const std::size_t begin = at + 2;
        at = input.find("\r\n", begin);
        const std::string line = input.substr(begin, at - begin);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.find_first_not_of(' ', colon + 1);
        message.headers[lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
    }
    input.erase(0, end + 4);
    const std::size_t length = std::strtoull(message.header("Content-Length").c_str(), nullptr, 10);
    while (input.size() < length) {
        const ssize_t got = recv(fd, chunk, sizeof chunk, 0);
        if (got <= 0)
            return false;
        input.append(chunk, static_cast<std::size_t>(got));
    }
    message.body = input.substr(0, length);
    input.erase(0, length);
    return true;
}

inline std::string response(int status, const std::string &body,
                            const std::string &headers = "Content-Type: application/json\r\n")
{
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Accepts connections and serves each in a thread; the handler returns false to close. */
class HttpListener
{
public:
    using Handler = std::function<bool(int fd, const Message &)>;
    explicit HttpListener(Handler handler, std::string host = "127.0.0.1", int port = 0)
        : handler_(std::move(handler)), host_(std::move(host)), port_(port)
    {
        listener_ = listenOn(host_, port_);
        if (listener_ < 0)
            throw std::runtime_error("cannot listen on port " + std::to_string(port));
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return port_; }

private:
    void accept()
    {
        for (;;) {
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([this, fd] {
                std::string input;
                Message message;
                while (readMessage(fd, input, message) && handler_(fd, message)) { }
                close(fd);
            }).detach();
        }
    }
    Handler handler_;
    std::string host_;
    int port_;
    int listener_ = -1;
};

/** The platform's object store: conditions, lists, watches. A sound one, always. */
class Store
{
public:
    Store() : http_([this](int fd, const Message &m) { return sendAll(fd, handle(m)); }) { }
    int port() const { return http_.port(); }
    /**
        Listens on one more port, where texts in the answers are replaced: a machine whose calls
       come there reaches the servers over links of its own, which can be cut for it alone.
    */
    int addView(std::vector<std::pair<std::string, std::string>> texts)
    {
        views_.push_back(std::make_unique<HttpListener>(
            [this, texts = std::move(texts)](int fd, const Message &m) {
                std::string answer = handle(m);
                for (const auto &[from, to] : texts) {
                    for (auto at = answer.find(from); at != std::string::npos;
                         at = answer.find(from, at + to.size()))
                        answer.replace(at, from.size(), to);
                }
                return sendAll(fd, answer);
            }));
        return views_.back()->port();
    }
    void write(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        put(kind, name, spec);
    }
    void erase(const std::string &kind, const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        drop(kind, name);
    }
    /** Returns the text of an object's spec; empty if there is none. */
    std::string text(const std::string &kind, const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto &objects = objects_[kind];
        const auto found = objects.find(name);
        if (found == objects.end())
            return {};
        const Json &spec = found->second["spec"];
        return spec.is_string() ? spec.get<std::string>() : spec.dump();
    }

private:
    struct Change
    {
        std::uint64_t rev;
        std::string kind;
        Json event;
    };
    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        Json &object = objects_[kind][name];
        if (!object.is_null() && object["spec"] == spec)
            return;
        ++rev_;
        object = {{"metadata",
                   {{"name", name},
                    {"rev", rev_},
                    {"createdRev", rev_},
                    {"finalizers", Json::array()},
                    {"deleting", false}}},
                  {"spec", spec},
                  {"status", Json::object()}};
        changes_.push_back({rev_, kind, {{"object", object}, {"removed", false}}});
        changed_.notify_all();
    }
    void drop(const std::string &kind, const std::string &name)
    {
        const auto found = objects_[kind].find(name);
        if (found == objects_[kind].end())
            return;
        ++rev_;
        changes_.push_back({rev_, kind, {{"object", found->second}, {"removed", true}}});
        objects_[kind].erase(found);
        changed_.notify_all();
    }
    static std::optional<std::uint64_t> query(const std::string &target, const std::string &name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos)
            return std::nullopt;
        return std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
    }
    std::string handle(const Message &m)
    {
        const std::string target = m.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/v1/objects/";
        if (path.compare(0, prefix.size(), prefix) != 0)
            return response(404, "");
        std::string kind = path.substr(prefix.size());
        std::string name;
        if (const auto slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        std::unique_lock<std::mutex> lock(mutex_);
        if (const auto since = query(target, "watch"))
            return watch(lock, kind, *since, query(target, "waitMs").value_or(1000));
        auto &objects = objects_[kind];
        const auto found = objects.find(name);
        if (m.method() == "GET" && name.empty()) {
            Json items = Json::array();
            for (const auto &[key, object] : objects)
                items.push_back(object);
            return response(
                200, Json{{"items", items}, {"hasMore", false}, {"currentRev", rev_}}.dump());
        }
        if (m.method() == "GET")
            return found == objects.end() ? response(404, "") : response(200, found->second.dump());
        if (m.method() == "DELETE") {
            if (found == objects.end())
                return response(404, "");
            const Json object = found->second;
            const auto rev = query(target, "rev");
            if (rev && *rev != object["metadata"]["rev"].get<std::uint64_t>())
                return response(409, object.dump());
            drop(kind, name);
            return response(200, object.dump());
        }
        const Json body = Json::parse(m.body, nullptr, false);
        if (!body.is_object() || !body.contains("metadata"))
            return response(400, "");
        if (m.method() == "POST") {
            const std::string created = body["metadata"].value("name", "");
            if (objects.count(created) > 0)
                return response(409, objects[created].dump());
            put(kind, created, body["spec"]);
            return response(201, objects[created].dump());
        }
        if (found == objects.end())
            return response(404, "");
        const auto rev = body["metadata"].find("rev");
        if (rev != body["metadata"].end() && *rev != found->second["metadata"]["rev"])
            return response(409, found->second.dump());
        put(kind, name, body["spec"]);
        return response(200, objects[name].dump());
    }
    std::string watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
                      std::uint64_t since, std::uint64_t waitMs)
    {
        Json events = Json::array();
        const auto collect = [&] {
            events = Json::array();
            for (const Change &each : changes_) {
                if (each.kind == kind && each.rev > since)
                    events.push_back(each.event);
            }
            return !events.empty();
        };
        changed_.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
        return response(200, Json{{"events", events}, {"currentRev", rev_}}.dump());
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Json>> objects_;
    std::vector<Change> changes_;
    std::uint64_t rev_ = 1;
    std::vector<std::unique_ptr<HttpListener>> views_;
    HttpListener http_;
};

/** One call to the platform under a duty, in the order in which they were received whole. */
struct DutyCall
{
    std::int64_t at;
    std::string target;
    std::string holder;
    std::uint64_t fence;
    std::string body;
};

/** The platform's interface for duties: takes every call. */
class Cloud
{
public:
    explicit Cloud(Record &record)
        : record_(record), http_([this](int fd, const Message &m) {
              {
                  const std::lock_guard<std::mutex> lock(mutex_);
                  calls_.push_back({nowMs(), m.target(), m.header("Duty-Holder"),
                                    std::strtoull(m.header("Fence-Token").c_str(), nullptr, 10),
                                    m.body});
                  record_.line("platform gets %s from %s, fence %s: %s", m.target().c_str(),
                               m.header("Duty-Holder").c_str(), m.header("Fence-Token").c_str(),
                               m.body.c_str());
              }
              return sendAll(fd, response(200, "{}"));
          })
    { }
    int port() const { return http_.port(); }
    std::vector<DutyCall> calls()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return calls_;
    }

private:
    Record &record_;
    std::mutex mutex_;
    std::vector<DutyCall> calls_;
    HttpListener http_;
};

/** Forwards connections to one address. What it does to them can be changed at any time. */
class Proxy
{
public:
    explicit Proxy(int target) : target_(target) { open(); }
    int port() const { return port_; }
    /** New connections are refused from now on; those that are open live on. */
    void refuseNew()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (listener_ >= 0) {
            shutdown(listener_, SHUT_RDWR);
            close(listener_);
        }
        listener_ = -1;
    }
    void open()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (listener_ >= 0)
            return;
        listener_ = listenOn("127.0.0.1", port_);
        if (listener_ < 0)
            throw std::runtime_error("cannot listen");
        std::thread([this, fd = listener_] { accept(fd); }).detach();
    }
    /** Resets the connections that are open. */
    void resetOpen() { ++resets_; }
    /** Bytes towards the target are passed on so much later, as if packets had to be resent. */
    void delayUp(int span) { delayUp_ = span; }
    /** Called when a connection has been accepted. */
    std::function<void()> onAccepted;

private:
    void accept(int listener)
    {
        for (;;) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EINTR || errno == ECONNABORTED)
                    continue;
                return;
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd)
    {
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        if (onAccepted)
            onAccepted();
        const int up = connectTo("127.0.0.1", target_);
        if (up < 0) {
            const linger reset{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            close(fd);
            return;
        }
        std::thread down([this, fd, up] { pump(up, fd, nullptr); });
        pump(fd, up, &delayUp_);
        down.join();
        close(fd);
        close(up);
    }
    /** Ends a connection with a reset when it is closed, and both directions now. */
    static void makeReset(int fd)
    {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    /** Passes bytes on; an end is passed on as an end, a reset as a reset. */
    void pump(int from, int to, const std::atomic<int> *delay) const
    {
        const int resets = resets_;
        char chunk[16384];
        for (;;) {
            pollfd question{from, POLLIN, 0};
            const int ready = poll(&question, 1, 10);
            if (resets != resets_) {
                makeReset(from);
                makeReset(to);
                return;
            }
            if (ready == 0)
                continue;
            const ssize_t got = recv(from, chunk, sizeof chunk, 0);
            if (got == 0) {
                shutdown(to, SHUT_WR);
                return;
            }
            if (got < 0) {
                makeReset(to);
                shutdown(to, SHUT_RDWR);
                return;
            }
            if (delay != nullptr)
                sleepMs(*delay);
            if (!sendAll(to, std::string(chunk, static_cast<std::size_t>(got)))) {
                makeReset(from);
                shutdown(from, SHUT_RDWR);
                return;
            }
        }
    }

    int target_;
    std::mutex mutex_;
    int port_ = 0;
    int listener_ = -1;
    std::atomic<int> delayUp_{0};
    std::atomic<int> resets_{0};
};

// Processes.

/** The processes that were started, so that none outlives the case however it ends. */
class Started
{
public:
    static void add(pid_t pid)
    {
        for (std::atomic<pid_t> &each : all()) {
            pid_t none = 0;
            if (each.compare_exchange_strong(none, pid))
                return;
        }
    }
    static void remove(pid_t pid)
    {
        for (std::atomic<pid_t> &each : all()) {
            pid_t own = pid;
            each.compare_exchange_strong(own, 0);
        }
    }
    static void killAll()
    {
        for (std::atomic<pid_t> &each : all()) {
            if (each > 0)
                ::kill(each, SIGKILL);
        }
    }
    /** Ends the case, as one that couldn't run, at a signal or when its time is over. */
    static void watch(unsigned seconds)
    {
        const auto end = [](int) {
            killAll();
            std::_Exit(2);
        };
        for (const int number : {SIGALRM, SIGTERM, SIGINT, SIGHUP})
            std::signal(number, end);
        alarm(seconds);
    }

private:
    static std::array<std::atomic<pid_t>, 256> &all()
    {
        static std::array<std::atomic<pid_t>, 256> pids{};
        return pids;
    }
};

/** A child process; killed at the latest by the destructor. */
class Child
{
public:
    Child() = default;
    Child(const Child &) = delete;
    Child &operator=(const Child &) = delete;
    ~Child() { kill(SIGKILL); }
    void start(const std::vector<std::string> &command, const std::vector<std::string> &variables,
               const std::string &log)
    {
        std::vector<char *> arguments;
        for (const std::string &each : command)
            arguments.push_back(const_cast<char *>(each.c_str()));
        arguments.push_back(nullptr);
        std::vector<char *> environment;
        for (const std::string &each : variables)
            environment.push_back(const_cast<char *>(each.c_str()));
        environment.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                         0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        if (posix_spawn(&pid_, command[0].c_str(), &actions, nullptr, arguments.data(),
                        environment.data())
            != 0)
            pid_ = -1;
        posix_spawn_file_actions_destroy(&actions);
        if (pid_ <= 0)
            throw std::runtime_error("cannot start " + command[0]);
        Started::add(pid_);
    }
    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    void kill(int number)
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, number);
        waitpid(pid_, nullptr, 0);
        Started::remove(pid_);
        pid_ = -1;
    }
    /** Returns whether the process has ended; then the status is that of waitpid(). */
    bool hasEnded(int *status = nullptr)
    {
        int found = 0;
        if (pid_ > 0 && waitpid(pid_, &found, WNOHANG) == pid_) {
            Started::remove(pid_);
            pid_ = -1;
            status_ = found;
        }
        if (status != nullptr)
            *status = status_;
        return pid_ <= 0;
    }
    pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
    int status_ = 0;
};

/** One machine of the deployment with its gateway. All have the same ports, at their own IPs. */
struct Ports
{
    int front = freePort();
    int ready = freePort();
    int control = freePort();
    int range = freePort();
};

class Machine
{
public:
    Machine(std::string name, std::string ip, std::string zone, const Ports &ports,
            std::string folder)
        : name_(std::move(name)), ip_(std::move(ip)), zone_(std::move(zone)), ports_(ports),
          folder_(std::move(folder))
    { }
    int storePort = 0;
    int cloudPort = 0;
    const std::string &name() const { return name_; }
    const std::string &ip() const { return ip_; }
    int front() const { return ports_.front; }
    Child process;

    /** Starts the gateway as the deploy file does: its program alone, from the repository's root.
     */
    void start(bool isFirstStart)
    {
        const std::string path = folder_ + "/" + name_ + ".conf";
        std::ofstream(path) << settings(isFirstStart);
        process.start({"target/bin/cuminrail-gateway"}, {"CUMINRAIL_BOOT=" + path, "PATH=/usr/bin"},
                      folder_ + "/" + name_ + ".log");
    }
    bool isReady() const
    {
        const int fd = connectTo(ip_, ports_.ready, 300);
        if (fd < 0)
            return false;
        sendAll(fd, "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        std::string input;
        Message answer;
        const bool isGood = readMessage(fd, input, answer) && answer.start.find(" 200") == 8;
        close(fd);
        return isGood;
    }
    bool awaitReady(int spanMs = 15000) const
    {
        for (const auto end = nowMs() + spanMs; nowMs() < end; sleepMs(50)) {
            if (isReady())
                return true;
        }
        return false;
    }

private:
    std::string settings(bool isFirstStart) const
    {
        const auto at = [this](int port) { return ip_ + ":" + std::to_string(port) + "\n"; };
        const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port) + "\n"; };
        return "nodeName=" + name_
            + "\nrole=instance\nmachineClass=front\nserves=front,control\nip=" + ip_
            + "\nzone=" + zone_ + "\nregion=r\nlisten.front=" + at(ports_.front)
            + "listen.ready=" + at(ports_.ready) + "listen.control=" + at(ports_.control)
            + "portRange=" + std::to_string(ports_.range) + "," + std::to_string(ports_.range + 15)
            + "\nbootstrap=" + (isFirstStart ? "true" : "false")
            + "\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
              "limits.linkMbps=1000.0\ndiscovery=platform\nentry=vip\nbeatMs=1200\n"
              "contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,"
              "platform\n"
              "bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n"
              "bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n"
              "bounds.configApplyMs=2000\nbounds.revertSlackMs=250\nbounds.skewMaxMs=5000\n"
              "bounds.revokeStrict=false\nbounds.revokeMs=5000\nbounds.budgetRatio=0.2\n"
              "bounds.budgetWindowS=10\nbounds.budgetExtra=52\nbounds.requireFence=false\n"
              "bounds.leaseMs=3000\nbounds.thawSlackMs=300\nbounds.reportWindowS=5\n"
              "bounds.usageOff=0.05\nbounds.usageLateS=10\nbounds.recoverS=12\n"
              "bounds.transitMs=120\nbounds.againS=9.7\nplatform.address="
            + local(storePort)
            + "platform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\n"
              "platform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n"
              "cloud.address="
            + local(cloudPort)
            + "cloud.ratePerS=50.0\ncloud.duties=usage_report,autoscale\ncloud.dutyPerS=50.0\n";
    }
    std::string name_;
    std::string ip_;
    std::string zone_;
    Ports ports_;
    std::string folder_;
};

/** Returns a configuration with one plain service, "desk", and four routes to it. */
inline Json configuration()
{
    const auto route = [](const std::string &name, const std::string &kind, int attempts,
                          bool canResume) {
        return Json{
            {"name", "r-" + name}, {"host", "desk.example"}, {"pathPrefix", "/" + name + "/"},
            {"kind", kind},        {"timeoutMs", 6000},      {"goalMs", 300},
            {"priority", 2},       {"service", "desk"},      {"maxAttempts", attempts},
            {"noAuth", false},     {"sticky", false},        {"canResume", canResume},
            {"gapGoalMs", 300}};
    };
    Json reading = route("read", "stream", 2, true);
    reading["sticky"] = true;
    return {{"version", 7},
            {"routes",
             {route("status", "safe", 2, false), route("lodge", "unsafe", 1, false),
              route("once", "stream", 1, false), route("again", "stream", 2, true), reading}},
            {"services",
             {{{"name", "desk"},
               {"healthPath", "/health"},
               {"maxConns", 360},
               {"protocol", "h1"},
               {"tls", false}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants",
             {{{"name", "north"}, {"keys", {"key-north"}}, {"priority", 1}},
              {{"name", "south"}, {"keys", {"key-south"}}, {"priority", 1}}}}};
}

inline Json serverEntry(int port, const std::string &zone, std::int64_t born)
{
    return {{"service", "desk"}, {"address", "127.0.0.1:" + std::to_string(port)},
            {"zone", zone},      {"version", "v1"},
            {"slots", 64},       {"state", "ready"},
            {"coldLeftMs", 0},   {"seq", 1},
            {"born", born}};
}

inline std::string request(const std::string &method, const std::string &path,
                           const std::string &id, int deadlineMs, const std::string &body = {},
                           const std::string &more = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nAuthorization: Bearer key-north\r\n" + more
        + (body.empty() && method == "GET"
               ? std::string()
               : "Content-Length: " + std::to_string(body.size()) + "\r\n")
        + "\r\n" + body;
}

/** What a client got for one request on a connection of its own. */
struct Answer
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /** The answer ended as HTTP says that it ends: by its length, or its last chunk. */
    bool isWhole = false;
    std::string how;
};

inline Answer readAnswer(int fd, int timeoutMs)
{
    Answer answer;
    std::string input;
    char chunk[16384];
    const auto end = nowMs() + timeoutMs;
    std::string ended;
    const auto more = [&] {
        pollfd question{fd, POLLIN, 0};
        const auto left = end - nowMs();
        if (left <= 0 || poll(&question, 1, static_cast<int>(left)) != 1) {
            ended = "nothing more in time";
            return false;
        }
        const ssize_t got = recv(fd, chunk, sizeof chunk, 0);
        if (got <= 0) {
            ended = got == 0 ? "closed" : "reset";
            return false;
        }
        input.append(chunk, static_cast<std::size_t>(got));
        return true;
    };
    std::size_t head = 0;
    while ((head = input.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            answer.how = ended + " before a head";
            return answer;
        }
    }
    answer.status = std::atoi(input.c_str() + 9);
    std::size_t at = input.find("\r\n");
    while (at < head) {
        const std::size_t begin = at + 2;
        at = input.find("\r\n", begin);
        const std::string line = input.substr(begin, at - begin);
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            answer.headers[lower(line.substr(0, colon))] =
                line.substr(std::min(line.size(), colon + 2));
    }
    input.erase(0, head + 4);
    if (lower(answer.headers["transfer-encoding"]) == "chunked") {
        for (;;) {
            std::size_t line = 0;
            while ((line = input.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    answer.how = ended + " inside the chunks";
                    return answer;
                }
            }
            const std::size_t size = std::strtoull(input.c_str(), nullptr, 16);
            while (input.size() < line + 2 + size + 2) {
                if (!more()) {
                    answer.how = ended + " inside a chunk";
                    return answer;
                }
            }
            answer.body += input.substr(line + 2, size);
            input.erase(0, line + 2 + size + 2);
            if (size == 0) {
                answer.isWhole = true;
                answer.how = "last chunk";
                return answer;
            }
        }
    }
    if (answer.headers.count("content-length") > 0) {
        const std::size_t length =
            std::strtoull(answer.headers["content-length"].c_str(), nullptr, 10);
        while (input.size() < length) {
            if (!more()) {
                answer.body = input;
                answer.how = ended + " inside the body";
                return answer;
            }
        }
        answer.body = input.substr(0, length);
        answer.isWhole = true;
        answer.how = "whole length";
        return answer;
    }
    while (more()) { }
    answer.body = input;
    answer.isWhole = ended == "closed";
    answer.how = ended + ", no length";
    return answer;
}

inline Answer call(const std::string &host, int port, const std::string &bytes, int timeoutMs)
{
    const int fd = connectTo(host, port);
    if (fd < 0)
        return {0, {}, {}, false, "no connection"};
    sendAll(fd, bytes);
    Answer answer = readAnswer(fd, timeoutMs);
    close(fd);
    return answer;
}

/** A small deployment: machines, servers, the store and the platform, all on loopback. */
struct Deployment
{
    struct Server
    {
        std::string id;
        int port = freePort();
        Child process;
    };
    struct Node
    {
        std::unique_ptr<Machine> machine;
        std::unique_ptr<Proxy> toCloud;
        /** This machine's links to the servers, in their order. */
        std::vector<std::unique_ptr<Proxy>> toServers;
        /** When one of its links was last whole again. */
        std::atomic<std::int64_t> healedAt{0};

        /** New connections to all servers are refused from now on; those that are open live on. */
        void cutFromServers(bool resetsOpen)
        {
            for (const auto &path : toServers) {
                path->refuseNew();
                if (resetsOpen)
                    path->resetOpen();
            }
        }
        void heal()
        {
            for (const auto &path : toServers)
                path->open();
            healedAt = nowMs();
        }
    };

    /**
        @param self         this program, which runs a server if it is called "server PORT ID"
        @param hasOwnLinks  each machine reaches each server over a link of its own, which can be
       cut for it alone; else all reach the servers at their own addresses
    */
    Deployment(const std::string &recordPath, std::size_t machines, std::size_t serverCount,
               std::string self, bool hasOwnLinks)
        : record(recordPath), cloud(record), self_(std::move(self))
    {
        char name[] = "/tmp/review-2-XXXXXX";
        if (mkdtemp(name) == nullptr)
            throw std::runtime_error("no temporary folder");
        scratch = name;
        current() = this;
        const char *const zones[] = {"a", "b", "c"};
        for (std::size_t i = 0; i < serverCount; ++i) {
            servers.push_back(std::make_unique<Server>());
            servers.back()->id = "i-" + std::to_string(i);
            startServer(*servers.back(), zones[i % 3]);
        }
        store.write("config", "main", configuration());
        const Ports ports;
        for (std::size_t i = 0; i < machines; ++i) {
            nodes.push_back(std::make_unique<Node>());
            Node &node = *nodes.back();
            node.machine = std::make_unique<Machine>(
                std::string("front-") + zones[i % 3] + "-" + std::to_string(i / 3 + 1),
                "127.0.1" + std::to_string(i) + ".1", zones[i % 3], ports, scratch);
            node.toCloud = std::make_unique<Proxy>(cloud.port());
            std::vector<std::pair<std::string, std::string>> texts;
            for (const auto &server : servers) {
                if (!hasOwnLinks)
                    break;
                node.toServers.push_back(std::make_unique<Proxy>(server->port));
                texts.emplace_back(entryAddress(server->port),
                                   entryAddress(node.toServers.back()->port()));
            }
            node.machine->storePort = store.addView(std::move(texts));
            node.machine->cloudPort = node.toCloud->port();
        }
    }
    /** Ends all processes. The threads that serve connections go on until this program ends. */
    void end()
    {
        for (const auto &node : nodes)
            node->machine->process.kill(SIGKILL);
        for (const auto &server : servers)
            server->process.kill(SIGKILL);
        const std::string clean = "rm -rf " + scratch;
        if (std::getenv("KEEP") != nullptr)
            record.line("logs are in %s", scratch.c_str());
        else if (std::system(clean.c_str()) != 0)
            record.line("%s could not be removed", scratch.c_str());
    }
    /** The one that was made last, if any. Never destroyed, as threads use it to the end. */
    static Deployment *&current()
    {
        static Deployment *site = nullptr;
        return site;
    }
    bool start()
    {
        for (const auto &node : nodes)
            node->machine->start(true);
        for (const auto &node : nodes) {
            if (!node->machine->awaitReady())
                return false;
        }
        return true;
    }
    void startServer(Server &server, const std::string &zone)
    {
        server.process.start({self_, "server", std::to_string(server.port), server.id}, {},
                             scratch + "/" + server.id + ".log");
        store.write("servers", server.id, serverEntry(server.port, zone, wallMs()));
    }
    Node *find(const std::string &name)
    {
        for (const auto &node : nodes) {
            if (node->machine->name() == name)
                return node.get();
        }
        return nullptr;
    }

    Record record;
    std::string scratch;
    Store store;
    Cloud cloud;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    static std::string entryAddress(int port)
    {
        return "\"127.0.0.1:" + std::to_string(port) + "\"";
    }
    std::string self_;
};

/** Runs a case, or one of its servers: "PROGRAM FOLDER", "PROGRAM server PORT ID". */
inline int
runProgram(int argc, char **argv,
           const std::function<int(const std::string &folder, const std::string &self)> &run,
           const std::function<int(int port, const std::string &id)> &serve)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc == 4 && std::string(argv[1]) == "server")
        return serve(std::atoi(argv[2]), argv[3]);
    if (argc != 2)
        return 2;
    Started::watch(115);
    int result = 2;
    try {
        char self[4096];
        const ssize_t length = readlink("/proc/self/exe", self, sizeof self - 1);
        result = run(argv[1], std::string(self, static_cast<std::size_t>(length)));
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    std::fflush(stdout);
    if (Deployment::current() != nullptr)
        Deployment::current()->end();
    Started::killAll();
    // Threads still serve connections.
    std::_Exit(result);
}

inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace stand
