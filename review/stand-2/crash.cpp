/**
    A server crashes in the middle of answers that end with their connection.

    Usage: crash FOLDER; "crash server PORT ID" for one server
*/

#include "answers.h"

using namespace stand;

namespace {

constexpr std::size_t rounds = 10;
constexpr std::size_t requestsOfRound = 360;
/** For how long a crashed server is down. */
constexpr int downMs = 4500;

int runCase(const std::string &folder, const std::string &self)
{
    Deployment &site = *new Deployment(folder + "/record.txt", 3, 6, self, false);
    Record &record = site.record;
    if (!site.start())
        return 2;
    sleepMs(2500);
    Verdict verdict;
    const char *const kinds[] = {"once", "again", "lodge"};
    const char *const zones[] = {"a", "b", "c"};
    for (std::size_t round = 0; round < rounds; ++round) {
        std::list<Sent> all;
        for (std::size_t i = 0; i < requestsOfRound; ++i) {
            all.emplace_back();
            const std::string kind = kinds[i % 3];
            all.back().path = "/" + kind + "/x";
            all.back().id = kind + "-" + std::to_string(round) + "-" + std::to_string(i);
            sendInThread(record, *site.nodes[i / 3 % 3]->machine, all.back());
            sleepMs(1);
        }
        sleepMs(1000);
        Deployment::Server &server = *site.servers[round % site.servers.size()];
        if (hasTrouble()) {
            server.process.kill(SIGKILL);
            record.line("server %s crashes", server.id.c_str());
        }
        const auto crashedAt = nowMs();
        for (Sent &each : all)
            each.thread.join();
        for (const Sent &each : all)
            verdict.judge(record, each);
        sleepMs(crashedAt + downMs - nowMs());
        if (hasTrouble()) {
            site.startServer(server, zones[round % 3]);
            record.line("server %s is back", server.id.c_str());
            sleepMs(1500);
        }
    }
    return verdict.report(record);
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, runCase, runServer);
}
