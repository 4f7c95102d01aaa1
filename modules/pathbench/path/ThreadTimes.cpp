#include "pathbench/path/ThreadTimes.h"

#include <filesystem>
#include <fstream>

namespace cuminrail::pathbench {

namespace {

const char *const taskDirectory = "/proc/self/task";

} // namespace

std::set<std::string> threadIds()
{
    std::set<std::string> ids;
    for (const auto &entry : std::filesystem::directory_iterator(taskDirectory))
        ids.insert(entry.path().filename().string());
    return ids;
}

double processorMicros(const std::set<std::string> &threads)
{
    double total = 0;
    for (const std::string &id : threads) {
        std::ifstream file(std::string(taskDirectory) + "/" + id + "/schedstat");
        double nanoseconds = 0;
        if (file >> nanoseconds)
            total += nanoseconds / 1000;
    }
    return total;
}

} // namespace cuminrail::pathbench
