// Builds the fleet health record that the holder of kHealthLease publishes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "lease/publisher.hpp"
#include "members/membership_view.hpp"

namespace tinspan::lease {

/// The maximum number of members that are not alive, and of failing servers, that a record lists. It bounds
/// the record's size in a large fleet, because the store and the connection limit that size.
constexpr std::size_t kMaxNamedInRecord = 64;

/// Returns the record as JSON: the state of the fleet in `view`, with the number and token of `request`.
/// `wall_ms` is the wall clock in milliseconds.
std::string BuildHealthRecord(const members::MembershipView& view, const WriteRequest& request,
                              std::uint64_t wall_ms);

}  // namespace tinspan::lease
