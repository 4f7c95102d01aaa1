/**
    The platform's duties while their holder changes.

    Usage: duties turns FOLDER    the holder loses its path to the servers for a moment, and its
                                  successor is stopped as planned
           duties release FOLDER  the holder is stopped as planned while a packet of its call is
   lost duties server PORT ID  one server
*/

#include "stand.h"

using namespace stand;

namespace {

constexpr std::int64_t leaseMs = 3000;
constexpr std::int64_t thawSlackMs = 300;

int runServer(int port, const std::string &id)
{
    HttpListener listener(
        [&](int fd, const Message &m) {
            if (m.target() == "/health")
                return sendAll(fd, response(200, "", "Instance-Id: " + id + "\r\n"));
            const std::string head = "Request-Id: " + m.header("Request-Id") + "\r\n";
            if (m.header("Expect-Instance") != id)
                return sendAll(fd, response(421, "", head));
            sleepMs(20);
            return sendAll(fd,
                           response(200, "status", head + "Response-Stamp: " + id + ".0.1\r\n"));
        },
        "127.0.0.1", port);
    for (;;)
        pause();
}

/** Servers, store, platform and three machines, each with paths of its own that can be harmed. */
struct Site
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
        std::vector<std::unique_ptr<Proxy>> toServers;
        /** When its path to the servers or to the platform was last whole again. */
        std::atomic<std::int64_t> healedAt{0};
    };

    Site(Record &log, std::string folder, const std::string &self)
        : record(log), scratch(std::move(folder)), cloud(log)
    {
        const char *const zones[] = {"a", "b", "c"};
        for (int i = 0; i < 6; ++i) {
            servers.push_back(std::make_unique<Server>());
            Server &server = *servers.back();
            server.id = "i-" + std::to_string(i);
            server.process.start({self, "server", std::to_string(server.port), server.id}, {},
                                 scratch + "/" + server.id + ".log");
            store.write("servers", server.id, serverEntry(server.port, zones[i % 3], wallMs()));
        }
        store.write("config", "main", configuration());
        const Ports ports;
        for (int i = 0; i < 3; ++i) {
            nodes.push_back(std::make_unique<Node>());
            Node &node = *nodes.back();
            node.machine = std::make_unique<Machine>(std::string("front-") + zones[i] + "-1",
                                                     "127.0.1" + std::to_string(i) + ".1", zones[i],
                                                     ports, scratch);
            node.toCloud = std::make_unique<Proxy>(cloud.port());
            std::vector<std::pair<std::string, std::string>> texts;
            for (const auto &server : servers) {
                node.toServers.push_back(std::make_unique<Proxy>(server->port));
                // Ports have five digits, so that lengths stay as they are.
                texts.emplace_back("127.0.0.1:" + std::to_string(server->port),
                                   "127.0.0.1:" + std::to_string(node.toServers.back()->port()));
            }
            node.machine->storePort = store.addView(std::move(texts));
            node.machine->cloudPort = node.toCloud->port();
        }
    }
    ~Site()
    {
        isOver = true;
        for (std::thread &each : traffic)
            each.join();
    }
    bool start()
    {
        for (const auto &node : nodes)
            node->machine->start(true);
        for (const auto &node : nodes) {
            if (!node->machine->awaitReady())
                return false;
        }
        for (const auto &node : nodes)
            traffic.emplace_back([this, &node = *node] { send(node); });
        return true;
    }
    void send(Node &node)
    {
        for (int i = 0; !isOver; ++i) {
            const std::string id = node.machine->name() + "-" + std::to_string(i);
            const Answer answer = call(node.machine->ip(), node.machine->front(),
                                       request("GET", "/status/x", id, 2000), 3000);
            ++answered[answer.status];
            sleepMs(40);
        }
    }
    Node *find(const std::string &name)
    {
        for (const auto &node : nodes) {
            if (node->machine->name() == name)
                return node.get();
        }
        return nullptr;
    }
    /** Waits for a usage call that came after so many; returns its number. */
    std::optional<std::size_t> awaitCall(std::size_t after, int spanMs,
                                         const std::string &notFrom = {})
    {
        for (const auto end = nowMs() + spanMs; nowMs() < end; sleepMs(2)) {
            const auto calls = cloud.calls();
            for (std::size_t i = after; i < calls.size(); ++i) {
                if (calls[i].target == "/usage" && calls[i].holder != notFrom)
                    return i;
            }
        }
        return std::nullopt;
    }

    Record &record;
    std::string scratch;
    Store store;
    Cloud cloud;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<int, std::atomic<int>> answered;
    std::atomic<bool> isOver{false};
    std::vector<std::thread> traffic;
};

/** Writes the calls about usage and whatever breaks the rule on holders. */
int judge(Site &site, bool judgesTurns)
{
    Record &record = site.record;
    std::vector<DutyCall> calls;
    for (const DutyCall &each : site.cloud.calls()) {
        const Site::Node *const node = site.find(each.holder);
        const std::int64_t sinceHealed = each.at - node->healedAt;
        if (each.target == "/usage" && (sinceHealed < 0 || sinceHealed > thawSlackMs))
            calls.push_back(each);
    }
    int broken = 0;
    std::uint64_t highest = 0;
    for (const DutyCall &each : calls) {
        if (each.fence < highest) {
            ++broken;
            record.line("BROKEN: a call of %s with fence %llu after one with %llu",
                        each.holder.c_str(), static_cast<unsigned long long>(each.fence),
                        static_cast<unsigned long long>(highest));
        }
        highest = std::max(highest, each.fence);
    }
    for (std::size_t i = 0; judgesTurns && i < calls.size(); ++i) {
        bool hasOther = false;
        for (std::size_t j = i + 1; j < calls.size() && calls[j].at - calls[i].at < leaseMs; ++j) {
            const bool isOther = calls[j].holder != calls[i].holder;
            if (!isOther && hasOther) {
                ++broken;
                record.line("BROKEN: %s, another holder and %s again act within %lld ms",
                            calls[i].holder.c_str(), calls[i].holder.c_str(),
                            static_cast<long long>(calls[j].at - calls[i].at));
                break;
            }
            hasOther = hasOther || isOther;
        }
    }
    record.line("%zu calls about usage, %d against the rule", calls.size(), broken);
    std::printf("%zu calls about usage, %d against the rule\n", calls.size(), broken);
    std::fflush(stdout);
    return calls.size() < 3 ? 2 : broken > 0 ? 1 : 0;
}

/** The holder is partitioned from all servers for 1.5 s; its successor is stopped as planned. */
int runTurns(Site &site)
{
    constexpr int cutMs = 1500;
    std::size_t seen = 0;
    for (int round = 0; round < 5; ++round) {
        const auto first = site.awaitCall(seen, 12000);
        if (!first)
            return 2;
        // A report in the middle of a steady state, not one of those that follow a change of
        // holder.
        const std::string holder = site.cloud.calls()[*first].holder;
        sleepMs(round == 0 ? 4000 : 6000);
        const auto next = site.awaitCall(site.cloud.calls().size(), 12000);
        if (!next)
            return 2;
        const std::string name = site.cloud.calls()[*next].holder;
        Site::Node &node = *site.find(name);
        seen = *next + 1;
        if (!hasTrouble())
            continue;
        for (const auto &path : node.toServers) {
            path->refuseNew();
            path->resetOpen();
        }
        site.record.line("%s is partitioned from all servers: connections are reset and refused",
                         name.c_str());
        const auto cutAt = nowMs();
        const auto successor = site.awaitCall(seen, cutMs, name);
        std::string stopped;
        if (successor) {
            stopped = site.cloud.calls()[*successor].holder;
            site.record.line("%s gets SIGTERM, as planned", stopped.c_str());
            site.find(stopped)->machine->process.signal(SIGTERM);
        }
        sleepMs(cutAt + cutMs - nowMs());
        for (const auto &path : node.toServers)
            path->open();
        node.healedAt = nowMs();
        site.record.line("the partition is over");
        sleepMs(4000);
        if (stopped.empty())
            continue;
        Child &process = site.find(stopped)->machine->process;
        for (const auto end = nowMs() + 8000; !process.hasEnded() && nowMs() < end;)
            sleepMs(50);
        process.kill(SIGKILL);
        site.find(stopped)->machine->start(false);
        if (!site.find(stopped)->machine->awaitReady())
            return 2;
    }
    return judge(site, true);
}

int runCase(const std::string &kind, const std::string &folder, const std::string &self)
{
    char name[] = "/tmp/review-duties-XXXXXX";
    if (mkdtemp(name) == nullptr)
        return 2;
    Record record(folder + "/record.txt");
    int result = 2;
    {
        Site site(record, name, self);
        result = !site.start() ? 2 : runTurns(site);
        for (const auto &[status, count] : site.answered)
            record.line("%d requests of clients were answered with status %d", count.load(),
                        status);
    }
    const std::string clean = std::string("rm -rf ") + name;
    if (std::getenv("KEEP") == nullptr && std::system(clean.c_str()) != 0)
        return 2;
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc == 4 && std::string(argv[1]) == "server")
        return runServer(std::atoi(argv[2]), argv[3]);
    if (argc != 3)
        return 2;
    try {
        char self[4096];
        const ssize_t length = readlink("/proc/self/exe", self, sizeof self - 1);
        std::_Exit(runCase(argv[1], argv[2], std::string(self, static_cast<std::size_t>(length))));
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        std::_Exit(2);
    }
}
