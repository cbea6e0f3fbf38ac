// The record of the fleet's health that the holder of kHealthLease publishes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "lease/publisher.hpp"
#include "members/membership_view.hpp"

namespace tinspan::lease {

/// At most so many members that are not alive, and so many failing servers, are named in a record: it stays
/// small however large the fleet, since stores and connections limit its size.
constexpr std::size_t kMaxNamedInRecord = 64;

/// The record as JSON: what `view` shows of the fleet, under the number and token of `request`. `wall_ms` is
/// the wall clock in milliseconds.
std::string BuildHealthRecord(const members::MembershipView& view, const WriteRequest& request,
                              std::uint64_t wall_ms);

}  // namespace tinspan::lease
