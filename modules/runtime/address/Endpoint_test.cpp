#include <doctest/doctest.h>

#include "runtime/address/Endpoint.h"

#include <string>
#include <vector>

using namespace cuminrail;

namespace {

struct EndpointCase
{
    std::string text;
    bool isEndpoint;
    bool isRemote;
};

const std::vector<EndpointCase> endpointCases{
    {"10.0.0.4:8000", true, true},
    {"127.0.0.1:1", true, true},
    {"10.0.0.4:65535", true, true},
    {"[fd00::4]:8000", true, true},
    {"[::1]:8000", true, true},
    {"127.0.0.1:0", true, false},
    {"0.0.0.0:80", true, false},
    {"[::]:80", true, false},
    {"255.255.255.255:9", true, false},
    {"224.0.0.1:80", true, false},
    {"[ff02::1]:80", true, false},
    {"", false, false},
    {":", false, false},
    {":80", false, false},
    {"10.0.0.4", false, false},
    {"10.0.0.4:", false, false},
    {"10.0.0.4:65536", false, false},
    {"10.0.0.4:99999999999999999999", false, false},
    {"10.0.0.4:-1", false, false},
    {"10.0.0.4:+80", false, false},
    {"10.0.0.4: 80", false, false},
    {"10.0.0.4:80 ", false, false},
    {"10.0.0.4:80\r\n", false, false},
    {" 10.0.0.4:80", false, false},
    {"10.0.0.4:0x50", false, false},
    {"10.0.0.4:80:80", false, false},
    {"10.0.0:80", false, false},
    {"10.0.0.256:80", false, false},
    {"10.0.0.4.5:80", false, false},
    {"engine-9.example:8080", false, false},
    {"localhost:8080", false, false},
    {"http://10.0.0.4:80", false, false},
    {"::1:8000", false, false},
    {"[::1", false, false},
    {"[]:80", false, false},
    {"[10.0.0.4]:80", false, false},
    {"[::1]80", false, false},
    {std::string("10.0.0.4\0x:80", 13), false, false},
    {std::string("10.0.0.4:80\0", 12), false, false},
    {std::string(100000, '9') + ":80", false, false},
};

} // namespace

// Guards against texts that only begin like an address, or that no connection can be made to.
TEST_CASE("an endpoint is an IP address and a port, and nothing else")
{
    for (const EndpointCase &row : endpointCases) {
        CAPTURE(row.text.substr(0, 64));
        CHECK(parseEndpoint(row.text).has_value() == row.isEndpoint);
        CHECK(parseRemoteEndpoint(row.text).has_value() == row.isRemote);
    }
    CHECK(parseEndpoint("10.0.0.4:8000")->port() == 8000);
    CHECK(parseEndpoint("[fd00::4]:8000")->address().to_string() == "fd00::4");
}
