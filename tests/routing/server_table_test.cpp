// The servers that a Router knows and their rendezvous order.
#include <algorithm>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

TEST(ServerTable, OrdersServersAlikeAtAllInstances) {
  RouterFixture a, b;
  b.settings.instance_index = 1;
  std::reverse(b.endpoints.begin(), b.endpoints.end());
  a.Start();
  b.Start();
  for (std::uint64_t object = 1; object <= 40; ++object) {
    const SendAttempt one = a.SendAndServe(object), two = b.SendAndServe(object);
    EXPECT_EQ(one.server, two.server);
    EXPECT_EQ(one.source, two.source);
    EXPECT_TRUE(IsParent(one.source));
  }
}

TEST(ServerTable, MovesFewObjectsWhenACacheLeaves) {
  RouterFixture whole, less;
  less.endpoints.erase(less.endpoints.begin());
  whole.Start();
  less.Start();
  for (std::uint64_t object = 1; object <= 60; ++object) {
    const SendAttempt before = whole.SendAndServe(object), after = less.SendAndServe(object);
    if (before.server != ServerId{1}) {
      EXPECT_EQ(before.server, after.server);
    }
  }
}

TEST(ServerTable, ListsNoDrainingServer) {
  RouterFixture fixture;
  fixture.Start();
  std::vector<EndpointInfo> drained;
  for (const EndpointInfo& endpoint : fixture.endpoints) {
    if (endpoint.id == ServerId{1} || endpoint.id == ServerId{11}) {
      drained.push_back(WithAvailability(endpoint, Availability::kDraining));
    }
  }
  fixture.UpdateEndpoints(drained);
  for (std::uint64_t object = 1; object < 60; ++object) {
    const SendAttempt sent = fixture.SendAndServe(object);
    EXPECT_NE(sent.server, ServerId{1});
    EXPECT_NE(sent.source, ServerId{11});
  }
}

TEST(ServerTable, RemovesWhatAFullListLeavesOut) {
  RouterFixture fixture;
  fixture.Start();
  fixture.UpdateEndpoints({fixture.endpoints.begin() + 1, fixture.endpoints.end()},
                          EndpointsEvent::Kind::kFull);
  for (std::uint64_t object = 1; object < 40; ++object) {
    EXPECT_NE(fixture.SendAndServe(object).server, ServerId{1});
  }
}

TEST(ServerTable, ForgetsTheCountsOfARestartedCache) {
  RouterFixture fixture;
  fixture.Start();
  const SendAttempt first = fixture.SendAndServe(7);
  fixture.UpdateEndpoints({WithAvailability(RouterFixture::Cache(static_cast<std::uint64_t>(first.server)),
                                            Availability::kUp, fixture.now - 19900ms)});
  fixture.AdvanceTime(200ms);  // warm again, but empty since its start
  EXPECT_EQ(fixture.SendAndServe(7).cache_rank, first.cache_rank);
}

// What is kept of departed servers is bounded, and the living are still served after thousands have gone.
TEST(ServerTable, ReusesTheSlotsOfDepartedServers) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t id = 1000; id < 4000; ++id) {
    std::vector<EndpointInfo> list = fixture.endpoints;
    list.push_back(RouterFixture::Cache(id));
    fixture.UpdateEndpoints(list, EndpointsEvent::Kind::kFull);
  }
  fixture.UpdateEndpoints(fixture.endpoints, EndpointsEvent::Kind::kFull);
  for (std::uint64_t object = 1; object < 50; ++object) {
    EXPECT_LE(static_cast<std::uint64_t>(fixture.SendAndServe(object).server), 3U);
  }
}

}  // namespace
}  // namespace tinspan
