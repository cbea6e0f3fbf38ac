// The servers known to a Router and their rendezvous order.
#include <algorithm>
#include <utility>

#include "routing/router_fixture.hpp"

namespace tinspan {
namespace {

// The cache and the source selected for each of forty objects.
std::vector<std::pair<ServerId, ServerId>> Placements(RouterFixture& fixture) {
  fixture.Start();
  std::vector<std::pair<ServerId, ServerId>> placements;
  for (std::uint64_t object = 1; object <= 40; ++object) {
    const SendAttempt sent = fixture.SendAndServe(object);
    placements.emplace_back(sent.server, sent.source);
  }
  return placements;
}

TEST(ServerTable, OrdersServersEquallyAtAllInstances) {
  RouterFixture first;
  RouterFixture second;
  second.settings.instance_index = 1;
  std::reverse(second.endpoints.begin(), second.endpoints.end());
  const auto placements = Placements(first);
  EXPECT_EQ(placements, Placements(second));
  for (const auto& [server, source] : placements) EXPECT_TRUE(IsParent(source));
}

TEST(ServerTable, MovesFewObjectsWhenACacheLeaves) {
  RouterFixture complete;
  RouterFixture without_first;
  without_first.endpoints.erase(without_first.endpoints.begin());
  complete.Start();
  without_first.Start();
  for (std::uint64_t object = 1; object <= 60; ++object) {
    const ServerId before = complete.SendAndServe(object).server;
    const ServerId after = without_first.SendAndServe(object).server;
    EXPECT_TRUE(before == ServerId{1} || before == after);
  }
}

TEST(ServerTable, ListsNoDrainingServer) {
  RouterFixture fixture;
  fixture.Start();
  const EndpointInfo& cache = fixture.endpoints[0];
  const EndpointInfo& parent = fixture.endpoints[3];
  fixture.UpdateEndpoints(
      {WithAvailability(cache, Availability::kDraining), WithAvailability(parent, Availability::kDraining)});
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

TEST(ServerTable, ClearsTheCountsOfARestartedCache) {
  RouterFixture fixture;
  fixture.Start();
  const SendAttempt first = fixture.SendAndServe(7);
  fixture.UpdateEndpoints({WithAvailability(RouterFixture::Cache(static_cast<std::uint64_t>(first.server)),
                                            Availability::kUp, fixture.now - 19900ms)});
  fixture.AdvanceTime(200ms);  // warm again, but empty since its restart
  EXPECT_EQ(fixture.SendAndServe(7).cache_rank, first.cache_rank);
}

// Guards against records of removed servers growing without bound, and against errors in the reuse of their
// slots.
TEST(ServerTable, ReusesTheSlotsOfDepartedServers) {
  RouterFixture fixture;
  fixture.Start();
  for (std::uint64_t server = 1000; server < 4000; ++server) {
    std::vector<EndpointInfo> list = fixture.endpoints;
    list.push_back(RouterFixture::Cache(server));
    fixture.UpdateEndpoints(list, EndpointsEvent::Kind::kFull);
  }
  fixture.UpdateEndpoints(fixture.endpoints, EndpointsEvent::Kind::kFull);
  for (std::uint64_t object = 1; object < 50; ++object) {
    EXPECT_LE(static_cast<std::uint64_t>(fixture.SendAndServe(object).server), 3U);
  }
}

}  // namespace
}  // namespace tinspan
