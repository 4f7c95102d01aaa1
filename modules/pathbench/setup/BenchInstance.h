#pragma once

#include "instance/Instance.h"
#include "instance/services/ControlServices.h"
#include "instance/services/PeerService.h"
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

/** Adds a service below /services/once/ whose calls run at most once. */
void addOnceService(Settings &settings, const std::vector<std::string> &addresses, Millis timeout,
                    bool isKeyRequired);

/** An instance in this process, on free ports of 127.0.0.1. */
class BenchInstance
{
public:
    /** Without a platform. Throws std::runtime_error when it cannot start. */
    BenchInstance(const Settings &settings, std::uint32_t threads);
    /** Takes its settings from a platform, and waits until it is ready. */
    BenchInstance(const std::string &platform, const std::string &name);
    ~BenchInstance();
    BenchInstance(const BenchInstance &) = delete;
    BenchInstance &operator=(const BenchInstance &) = delete;

    std::uint16_t port() const { return instance_->port(); }

private:
    void start();
    bool isReady();
    void waitUntilReady();

    std::unique_ptr<Instance> instance_;
    std::unique_ptr<PeerService> peers_;
    std::unique_ptr<ControlServices> services_;
};

} // namespace cuminrail::pathbench
