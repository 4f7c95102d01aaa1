// The library's own source, built once for the whole program. Its warnings are not ours.
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wshadow"

#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE

#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include): the library ships it so

INITIALIZE_EASYLOGGINGPP
