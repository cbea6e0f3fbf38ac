// Forwards the public calls of Router to its engine.
#include "tinspan/router.hpp"

#include "routing/engine.hpp"

namespace tinspan {

// The seed is unused: no decision is random.
Router::Router(const Settings& settings, std::uint64_t, Micros now, Actions& out)
    : engine_(std::make_unique<Engine>(settings, now, out)) {}

Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::UpdateSettings(const Settings& settings) { engine_->UpdateSettings(settings); }

template <class Event>
void Router::Forward(Micros now, const Event& event, Actions& out) {
  engine_->BeginEvent(now, out);
  engine_->Handle(event);
}

void Router::Handle(Micros now, const EndpointsEvent& event, Actions& out) { Forward(now, event, out); }
void Router::Handle(Micros now, const RequestEvent& event, Actions& out) { Forward(now, event, out); }
void Router::Handle(Micros now, const ResponseStartedEvent& event, Actions& out) { Forward(now, event, out); }
void Router::Handle(Micros now, const OutcomeEvent& event, Actions& out) { Forward(now, event, out); }
void Router::Handle(Micros now, const ClientDisconnectedEvent& event, Actions& out) {
  Forward(now, event, out);
}
void Router::Handle(Micros now, const TimerEvent& event, Actions& out) { Forward(now, event, out); }
void Router::Handle(Micros now, const PurgeEvent& event, Actions& out) { Forward(now, event, out); }

}  // namespace tinspan
