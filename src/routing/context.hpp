// What the units of one Router share: its settings, its clock and where its actions go.
#pragma once

#include <utility>

#include "tinspan/router.hpp"

namespace tinspan {

struct Context {
  Settings settings;
  Micros now{0};               // the current event's time; never steps back
  Micros started_at{0};        // when this Router started
  Actions* actions = nullptr;  // the current event's, owned by the caller of Router::Handle

  template <class Kind>
  void Emit(Kind action) {
    actions->emplace_back(std::in_place_type<Kind>, std::move(action));
  }
};

}  // namespace tinspan
