// The clients' side of the platform: RESP requests in, final answers out.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "core/request_coordinator.hpp"
#include "front/platform/pending_request.hpp"
#include "front/platform/resp.hpp"
#include "net/connection.hpp"
#include "net/idle_connection_tracker.hpp"
#include "net/listener.hpp"

namespace tinspan::platform {

class DownstreamConnections final : public net::Connection::Owner {
 public:
  DownstreamConnections(net::EventLoop& loop, const config::Platform& config,
                        core::RequestCoordinator& coordinator, std::vector<core::Event>& events);

  const PendingRequest* Find(RequestId id) const;
  // The final answer; `body` is sent or copied before this returns.
  void Serve(RequestId id, bool same, std::string_view body);
  void Refuse(RequestId id, Micros retry_after);
  void Fail(RequestId id);

  void Drain(Micros accept_until) { accept_until_ = accept_until; }
  // Standby: newcomers are still taken, and every connection is closed once nothing is open on it.
  void SendAway(bool away) { away_ = away; }
  // The names of the classes by place, after a retune (setup::Retune); the last place of a name is taken.
  void SetClasses(Names classes) { classes_ = std::move(classes); }
  bool IsDrained() const { return clients_.empty(); }
  std::uint16_t Port() const { return listener_.Port(); }
  std::size_t Backlog() const;
  std::size_t Open() const {
    return asked_.size();
  }  // requests without their final answer  // bytes that clients have yet to take, all together
  void EndRound(Micros now);

  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  struct Client {
    std::unique_ptr<net::Connection> connection;
    std::unordered_map<std::string, RequestId> open;  // by tag
    std::size_t consume = 0;                          // handled, still in the buffer
    std::uint64_t sent = 0;                           // as seen last...
    Micros moved{0};                                  // ...and when it changed
    bool answered = false;                            // some answer was written to it
    bool held = false;                                // nothing new is taken from it
    bool partial = false;                             // a message after an answer has begun to come
    std::size_t ahead = 0;                            // of what is unread, looked through by LookAhead
    std::unordered_set<std::string> withdrawn;        // tags called off before their requests were handled
  };
  struct Parting {
    std::uint64_t id;
    Micros until;
  };

  void Accept(net::Fd fd);
  bool MakeRoom();
  void Handle(Client& client, const RespMessage& message);
  bool Call(Client& client, const RespMessage& message);  // false: nothing that could be served
  void Cancel(Client& client, const std::string& tag);
  void Reply(Client& client, std::string_view tag, std::string_view word, std::string_view fields,
             std::string_view body);
  void LookAhead(Client& client);
  void Hold(Client& client, bool hold);
  // Ends our side and hears the client out for a moment: a plain close resets the connection over what comes
  // in that moment, and the reset may take answers with it. False: a request has just arrived, so it stays.
  bool LetGo(Client& client, Micros now);
  void Part(Client& client, Micros now);
  void Depart(Micros now);
  void LeaveWhenStopping(Micros now);
  void Close(Client& client);
  void Abandon(Client& client);
  void Seat(Client& client);  // newcomer, busy or idle
  void Wake();
  void Write(RequestId id, std::string_view word, std::string_view fields, std::string_view body);
  void Forget(RequestId id);

  net::EventLoop& loop_;
  const config::Platform& config_;
  core::RequestCoordinator& coordinator_;
  std::vector<core::Event>& events_;
  std::unordered_map<std::uint64_t, Client> clients_;
  std::unordered_map<RequestId, PendingRequest> asked_;
  std::unordered_set<std::string> refs_;  // of the requests that are open
  std::size_t held_bytes_ = 0;            // bodies of the requests that are open
  bool held_ = false;
  net::IdleConnectionTracker idle_connections_;
  std::unordered_set<std::uint64_t> touched_;  // with bytes handled in this round
  std::unordered_set<std::uint64_t> backed_;   // with answers not yet taken
  std::vector<std::uint64_t> closed_;
  std::deque<Parting> parting_;  // our side has ended, the oldest in front
  std::optional<Micros> wake_;
  std::optional<Micros> away_wake_;
  std::uint64_t last_ = 0;
  Micros accept_until_ = Micros::max();
  bool away_ = false;
  Names classes_;
  net::Listener listener_;
};

}  // namespace tinspan::platform
