#pragma once

#include "instance/Instance.h"
#include "settings/model/Settings.h"

#include <memory>
#include <string>
#include <vector>

namespace cuminrail::pathbench {

/** The key that callers of a bench use. */
inline constexpr const char *benchKey = "bench-key";

/** Returns settings with one customer who is limited by nothing, and no upstreams yet. */
Settings makeBenchSettings();

/** Adds an engine for the model "bench". */
void addEngine(Settings &settings, const std::string &address);

/** Adds a service below /services/once/ whose calls run at most once, without a key needed. */
void addOnceService(Settings &settings, const std::vector<std::string> &addresses, Millis timeout);

/** An instance in this process, on free ports of 127.0.0.1. */
class BenchInstance
{
public:
    /** Throws std::runtime_error when it cannot start. */
    BenchInstance(const Settings &settings, std::uint32_t threads);

    std::uint16_t port() const { return instance_->port(); }

private:
    std::unique_ptr<Instance> instance_;
};

} // namespace cuminrail::pathbench
