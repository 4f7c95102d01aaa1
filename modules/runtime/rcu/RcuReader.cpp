#include "runtime/rcu/RcuReader.h"

#include <urcu/urcu-memb.h>

namespace cuminrail {

RcuThread::RcuThread()
{
    urcu_memb_register_thread();
}

RcuThread::~RcuThread()
{
    urcu_memb_unregister_thread();
}

RcuReadScope::RcuReadScope()
{
    urcu_memb_read_lock();
}

RcuReadScope::~RcuReadScope()
{
    urcu_memb_read_unlock();
}

namespace detail {

void waitForRcuReaders()
{
    urcu_memb_synchronize_rcu();
}

} // namespace detail

} // namespace cuminrail
