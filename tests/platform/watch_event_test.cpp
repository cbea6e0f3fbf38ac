// Parsing of the endpoint watch's events: valid events, and for each malformed event the field that the error
// names.
#include "front/platform/watch_event.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <variant>

namespace tinspan::platform {
namespace {

class WatchEventTest : public ::testing::Test {
 protected:
  WatchEventTest() {
    site_.zones = {"north", "south"};
    site_.kinds = {"edge", "origin"};
  }

  std::optional<WatchEvent> Parse(const std::string& json, std::uint64_t last_sequence = 0) {
    return parser_.Parse(json, last_sequence);
  }
  /// Parses an event and returns its change. Fails the test if the change is not of the type `Change`.
  template <class Change>
  Change ParseAs(const std::string& json) {
    const auto event = Parse(json);
    if (!event || !std::holds_alternative<Change>(event->change)) {
      ADD_FAILURE() << "another type of event: " << json;
      return {};
    }
    return std::get<Change>(event->change);
  }
  /// Returns the field that the error names, or an empty string if the event is valid.
  std::string MalformedField(const std::string& json) {
    try {
      Parse(json);
      return "";
    } catch (const Malformed& error) {
      return error.field;
    }
  }

 private:
  NamedSettings site_;
  WatchEventParser parser_{site_};
};

std::string ListEvent(const std::string& servers, const std::string& more = "") {
  return R"({"seq":5,"fleet":{)" + more + R"("servers":[)" + servers + "]}}";
}

constexpr const char* kServer =
    R"({"id":"edge-1","kind":"edge","zone":"south","state":"up","addr":"10.0.0.1:7000","weight":2.5,)"
    R"("cell":3,"started_ms":1700000000000})";

TEST_F(WatchEventTest, ReadsTheSequenceNumber) { EXPECT_EQ(Parse(ListEvent(kServer))->sequence, 5u); }

TEST_F(WatchEventTest, ReadsAnEndpoint) {
  const auto change = ParseAs<EndpointListChange>(ListEvent(kServer));
  ASSERT_EQ(change.update.endpoints.size(), 1u);
  const EndpointInfo& endpoint = change.update.endpoints.front();
  EXPECT_EQ(endpoint.id, HashName("edge-1"));
  EXPECT_EQ(endpoint.weight, 2.5);
  EXPECT_EQ(endpoint.cell, 3u);
  EXPECT_EQ(endpoint.kind, KindId{0});
  EXPECT_EQ(endpoint.zone, ZoneId{1});
  EXPECT_EQ(endpoint.started_at, Micros{1'700'000'000'000'000});
  EXPECT_EQ(endpoint.availability, Availability::kUp);
}

TEST_F(WatchEventTest, ReadsTheNameAndAddressOfAnEndpoint) {
  const auto change = ParseAs<EndpointListChange>(ListEvent(kServer));
  ASSERT_EQ(change.update.names.size(), 1u);
  EXPECT_EQ(change.update.names.front().name, "edge-1");
  EXPECT_EQ(change.update.names.front().address, "10.0.0.1:7000");
  ASSERT_EQ(change.addresses.size(), 1u);
  EXPECT_EQ(change.addresses.front(), net::Endpoint::Parse("10.0.0.1:7000"));
}

TEST_F(WatchEventTest, UsesDefaultsForMissingFields) {
  const auto change = ParseAs<EndpointListChange>(
      ListEvent(R"({"id":"edge-1","kind":"edge","zone":"north","state":"up","addr":"10.0.0.1:7000"})"));
  const EndpointInfo& endpoint = change.update.endpoints.at(0);
  EXPECT_EQ(endpoint.weight, 0.0);
  EXPECT_EQ(endpoint.cell, 0u);
  EXPECT_EQ(endpoint.started_at, Micros{0});
}

TEST_F(WatchEventTest, IsADeltaUnlessMarkedFull) {
  EXPECT_EQ(ParseAs<EndpointListChange>(ListEvent("")).update.kind, EndpointsEvent::Kind::kDelta);
  EXPECT_EQ(ParseAs<EndpointListChange>(ListEvent("", R"("full":false,)")).update.kind,
            EndpointsEvent::Kind::kDelta);
  EXPECT_EQ(ParseAs<EndpointListChange>(ListEvent("", R"("full":true,)")).update.kind,
            EndpointsEvent::Kind::kFull);
}

TEST_F(WatchEventTest, ReadsTheVersionOfTheList) {
  EXPECT_EQ(ParseAs<EndpointListChange>(ListEvent("", R"("version":9,)")).update.version, 9u);
}

TEST_F(WatchEventTest, RequiresNoAddressForAServerThatIsNotUp) {
  for (const std::string state : {"draining", "removed"}) {
    const auto change = ParseAs<EndpointListChange>(
        ListEvent(R"({"id":"edge-1","kind":"edge","zone":"north","state":")" + state + R"("})"));
    EXPECT_EQ(change.addresses.at(0), std::nullopt) << state;
    EXPECT_EQ(change.update.names.at(0).address, "") << state;
  }
}

TEST_F(WatchEventTest, ReadsAPurgeOfAnObject) {
  const auto purge = ParseAs<core::PurgeReceived>(
      R"({"seq":5,"invalidate":{"time":1700000000000,"object":"00000000000000ff"}})");
  EXPECT_EQ(purge.purged_at, Micros{1'700'000'000'000'000});
  EXPECT_EQ(purge.object, ObjectId{255});
}

TEST_F(WatchEventTest, ReadsAPurgeOfAGroup) {
  const auto purge =
      ParseAs<core::PurgeReceived>(R"({"seq":5,"invalidate":{"time":1700000000000,"bucket":12}})");
  EXPECT_EQ(purge.object, std::nullopt);
  EXPECT_EQ(purge.group, GroupId{12});
}

TEST_F(WatchEventTest, AcceptsAnEventOfAnotherType) { ParseAs<std::monostate>(R"({"seq":5,"other":{}})"); }

TEST_F(WatchEventTest, IgnoresAKnownSequenceNumberEvenIfTheEventIsMalformed) {
  EXPECT_EQ(Parse(ListEvent(kServer), 5), std::nullopt);
  EXPECT_EQ(Parse(R"({"seq":4,"fleet":{"servers":"none"}})", 5), std::nullopt);
}

struct MalformedEvent {
  std::string json;
  std::string field;
};

class MalformedWatchEventTest : public WatchEventTest,
                                public ::testing::WithParamInterface<MalformedEvent> {};

TEST_P(MalformedWatchEventTest, NamesTheField) {
  EXPECT_EQ(MalformedField(GetParam().json), GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(
    Events, MalformedWatchEventTest,
    ::testing::Values(
        MalformedEvent{"{", "event"}, MalformedEvent{"{}", "seq"}, MalformedEvent{R"({"seq":"5"})", "seq"},
        MalformedEvent{R"({"seq":-5})", "seq"}, MalformedEvent{R"({"seq":5,"fleet":{}})", "servers"},
        MalformedEvent{R"({"seq":5,"fleet":{"servers":{}}})", "servers"},
        MalformedEvent{ListEvent(R"({"kind":"edge","zone":"north","state":"up"})"), "id"},
        MalformedEvent{ListEvent(R"({"id":"a","zone":"north","state":"up"})"), "kind"},
        MalformedEvent{ListEvent(R"({"id":"a","kind":"none","zone":"north","state":"up"})"), "kind"},
        MalformedEvent{ListEvent(R"({"id":"a","kind":"edge","state":"up"})"), "zone"},
        MalformedEvent{ListEvent(R"({"id":"a","kind":"edge","zone":"none","state":"up"})"), "zone"},
        MalformedEvent{ListEvent(R"({"id":"a","kind":"edge","zone":"north"})"), "state"},
        MalformedEvent{ListEvent(R"({"id":"a","kind":"edge","zone":"north","state":"none"})"), "state"},
        MalformedEvent{ListEvent(R"({"id":"a","kind":"edge","zone":"north","state":"up"})"), "addr"},
        MalformedEvent{ListEvent(R"({"id":"a","kind":"edge","zone":"north","state":"up","addr":"x"})"),
                       "addr"},
        MalformedEvent{R"({"seq":5,"invalidate":{"bucket":1}})", "time"},
        MalformedEvent{R"({"seq":5,"invalidate":{"time":1}})", "bucket"},
        MalformedEvent{R"({"seq":5,"invalidate":{"time":1,"object":"ff"}})", "object"}));

}  // namespace
}  // namespace tinspan::platform
