// The clients' side of the gateway: HTTP/1.1 requests with signed links or tokens in, answers out.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/observer.hpp"
#include "core/request_coordinator.hpp"
#include "front/http/access.hpp"
#include "front/http/http1.hpp"
#include "net/connection.hpp"
#include "net/idle_connection_tracker.hpp"
#include "net/listener.hpp"

namespace tinspan::http {

// What of a request goes on to a server; it outlives the buffer that it came in.
struct Asked {
  std::uint64_t connection = 0;
  std::string method;
  std::string uri;     // canonical, without any signature
  std::string fields;  // header lines to pass on
  std::string body;
  bool link = false;  // servers are called with a signed link, else with a token
  int blame = 0;      // a status of ours, where a server's answer shows that the gateway is at fault
};

class Clients final : public net::Connection::Owner {
 public:
  Clients(net::EventLoop& loop, const config::Http& config, core::RequestCoordinator& coordinator,
          Access& access, std::vector<core::Event>& events);

  Asked* Find(RequestId id);
  // Parts of an answer that is passed on. How many bytes wait for the client now; nothing if it has gone.
  std::optional<std::size_t> Pass(RequestId id, std::string_view bytes);
  std::optional<std::size_t> Backlog(RequestId id) const;
  void Served(RequestId id);  // its last byte has been passed on
  void Broken(RequestId id);
  // An answer of the gateway's own.
  void Answer(RequestId id, int status, std::string_view fields);

  void SetReady() { ready_ = true; }
  // What /-/records gives out; none: there is no such endpoint.
  void SetFeed(const core::RecordFeed* feed) { feed_ = feed; }
  // Told each operator's purge that is taken here.
  void SetPurged(std::function<void(const core::PurgeReceived&)> purged) { purged_ = std::move(purged); }
  // Lets clients go by this timetable.
  void Drain(const core::DrainTimetable& timetable) { drain_ = timetable; }
  bool IsDrained() const;
  void EndRound(Micros now);
  std::uint16_t Port() const { return listener_.Port(); }

  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  struct Client {
    std::unique_ptr<net::Connection> connection;
    std::optional<RequestId> open;
    bool last = false;       // this request's answer is the connection's last
    bool continued = false;  // 100 has been sent
    std::uint64_t sent = 0;  // as seen last
    std::uint64_t told = 0;  // bytes written to it, as seen last
    Micros used{0};
  };

  void Accept(net::Fd fd);
  bool MakeRoom();
  bool LetGo(Client& client);
  void Read(Client& client);
  bool ReadOne(Client& client);  // false: nothing more to read now
  // 0: it goes to the core. Else the status that answers it; header lines go to `fields`.
  int Handle(Client& client, const Head& head, std::string_view body, std::string& fields);
  int Operator(const Head& head, const Target& target, std::string_view body, std::string& fields);
  int Records(const Head& head, const Target& target, std::string& fields);
  int Judge(config::Carrier access, const Head& head, const Target& target, UnixTime now,
            std::string& fields) const;
  void Reply(Client& client, int status, std::string_view fields, std::string_view body = {});
  void Leave(Client& client);
  bool Stopping(Micros now) const { return drain_ && now >= drain_->accept_until; }

  net::EventLoop& loop_;
  const config::Http& config_;
  core::RequestCoordinator& coordinator_;
  Access& access_;
  std::vector<core::Event>& events_;
  std::unordered_map<std::uint64_t, Client> clients_;
  std::unordered_map<RequestId, Asked> asked_;
  std::vector<std::uint64_t> closed_;
  net::IdleConnectionTracker idle_connections_;
  std::uint64_t last_ = 0;
  bool ready_ = false;
  const core::RecordFeed* feed_ = nullptr;
  std::function<void(const core::PurgeReceived&)> purged_;
  std::string body_;  // of the answer to an operator
  std::optional<core::DrainTimetable> drain_;
  net::Listener listener_;
};

// Objects and groups as the module numbers them. A purge of a path is one of the object of that URI; the
// group is the first segment behind the class's prefix.
ObjectId ObjectOf(std::string_view uri);
GroupId GroupOf(std::string_view segment);

}  // namespace tinspan::http
