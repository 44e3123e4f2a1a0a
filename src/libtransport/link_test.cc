#include "libtransport/link.h"

#include <CppUTest/TestHarness.h>

namespace savoryring {

TEST_GROUP(Link){};

// Guards against processes that end as another one names an odd address.
TEST(Link, AMessageToAnAddressThatIsNoneIsDropped) {
  Link link({.bind_address = "127.0.0.1:27731", .sender = "a"});
  for (const std::string address :
       {"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1", "", "x:y:z"})
    link.Send(address, wire::REPLICA_MESSAGE, "body");
  LONGS_EQUAL(0, link.counters().messages_sent);
  LONGS_EQUAL(5, link.counters().dropped);
}

}  // namespace savoryring
