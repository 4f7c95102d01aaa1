#pragma once

namespace cuminrail {

/** Registers the calling thread as a reader of snapshots, for as long as this object lives. */
class RcuThread
{
public:
    RcuThread();
    ~RcuThread();
    RcuThread(const RcuThread &) = delete;
    RcuThread &operator=(const RcuThread &) = delete;
};

/**
    Keeps what a registered thread reads from RcuCells alive for as long as this object lives.

    Costs no lock. Never hold one across an asynchronous wait: a publisher waits for it.
*/
class RcuReadScope
{
public:
    RcuReadScope();
    ~RcuReadScope();
    RcuReadScope(const RcuReadScope &) = delete;
    RcuReadScope &operator=(const RcuReadScope &) = delete;
};

namespace detail {
/** Waits until every read scope that is open now has been closed. */
void waitForRcuReaders();
} // namespace detail

} // namespace cuminrail
