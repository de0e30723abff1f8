#include "daemon_test.h"
#include "programs/boragelugctl/commands.h"

#include <sstream>

#include <sysexits.h>

namespace boragelug
{
namespace
{

using namespace soak;

/// Fails requests, and explains them from the daemon's log alone.
class FailureTraceTest : public DaemonTest
{
protected:
    /// What `explain` says of the flow from @p port.
    std::string explain(std::uint16_t port, const Endpoint &entry)
    {
        std::ostringstream out;
        std::ostringstream err;
        const std::string flow =
            "udp," + toString({ .address = at(20, 0).address, .port = Port { port } }) + "," + toString(entry);
        const int code = runExplain({ "--log", vm_.logPath(), "--flow", flow }, { .out = out, .err = err });
        EXPECT_EQ(code, EX_OK) << err.str();
        return out.str();
    }
};

// Guards on-call engineers who have only the log: a host that crashed silently.
TEST_F(FailureTraceTest, FindsASilentHost)
{
    ASSERT_TRUE(logsAfter("process_ready"));
    sendSyn(1000, at(50, 443), 0);
    sendRequest(1000);
    ASSERT_TRUE(logsAfter("flow_unanswered", [&] { sendRequest(1000); }));
    store_.remove(hostKey(hostId));
    ASSERT_TRUE(logsAfter("upstream_gone"));
    EXPECT_NE(explain(1000, at(50, 443)).find("cause: upstream 000000000000002a fell silent"), std::string::npos);
}

// The same for a refusal: no catalogue entry has the address.
TEST_F(FailureTraceTest, FindsAMissingEntry)
{
    ASSERT_TRUE(logsAfter("process_ready"));
    ASSERT_TRUE(logsAfter("flow_refused", [&] { sendSyn(1000, at(51, 443), 2); }));
    EXPECT_NE(explain(1000, at(51, 443)).find("cause: refused: catalogue 7 has no entry"), std::string::npos);
}

// The same for a VM that is cut off with its zone: the host doesn't answer, and neither does the directory.
TEST_F(FailureTraceTest, FindsACutZone)
{
    ASSERT_TRUE(logsAfter("process_ready"));
    store_.setFault(StoreFault::Silent);
    sendSyn(1000, at(50, 443), 0);
    sendRequest(1000);
    ASSERT_TRUE(logsAfter("flow_unanswered", [&] { sendRequest(1000); }));
    ASSERT_TRUE(logsAfter("platform_unreachable"));
    EXPECT_NE(explain(1000, at(50, 443)).find("the VM or a zone was cut off"), std::string::npos);
}

} // namespace
} // namespace boragelug
