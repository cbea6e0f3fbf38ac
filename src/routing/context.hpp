// The settings, clock and action output that the components of one Router share.
#pragma once

#include <utility>

#include "tinspan/router.hpp"

namespace tinspan {

struct Context {
  Settings settings;
  Micros now{0};               // time of the current event; never decreases
  Micros started_at{0};        // when this Router started
  Actions* actions = nullptr;  // output of the current event; owned by the caller of Router::Handle

  template <class Kind>
  void Emit(Kind action) {
    actions->emplace_back(std::in_place_type<Kind>, std::move(action));
  }
};

}  // namespace tinspan
