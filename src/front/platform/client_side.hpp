// The clients' side of the platform: RESP requests in, final answers out.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/gateway.hpp"
#include "front/platform/resp.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"

namespace tinspan::platform {

// What of a request goes on to a server, unchanged; it outlives the buffer that it came in, since a further
// attempt may need it.
struct Asked {
  std::uint64_t connection = 0;
  std::string tag;
  std::string ref;
  std::string class_name;
  std::string object;
  std::string part;
  std::string key;
  std::string cached;
  std::string body;
};

class ClientSide final : public net::Connection::Owner {
 public:
  ClientSide(net::EventLoop& loop, const config::Platform& config, core::Gateway& gateway,
             std::vector<core::Event>& events);

  const Asked* Find(RequestId id) const;
  // The final answer; `body` is sent or copied before this returns.
  void Serve(RequestId id, bool same, std::string_view body);
  void Refuse(RequestId id, Micros retry_after);
  void Fail(RequestId id);

  void Drain(Micros accept_until) { accept_until_ = accept_until; }
  bool Drained() const;
  std::uint16_t Port() const { return listener_.Port(); }
  std::size_t Backlog() const;
  void EndRound(Micros now);

  void OnBytes(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  struct Client {
    std::unique_ptr<net::Connection> connection;
    std::unordered_map<std::string, RequestId> open;  // by tag
    std::size_t consume = 0;                          // handled, still in the buffer
    Micros used{0};
  };

  void Accept(net::Fd fd);
  bool Handle(Client& client, const RespMessage& message);  // false: malformed
  bool Call(Client& client, const RespMessage& message);
  void Write(RequestId id, std::string_view word, std::string_view fields, std::string_view body);
  void Leave(Client& client);
  void Forget(RequestId id);

  net::EventLoop& loop_;
  const config::Platform& config_;
  core::Gateway& gateway_;
  std::vector<core::Event>& events_;
  std::unordered_map<std::uint64_t, Client> clients_;
  std::unordered_map<RequestId, Asked> asked_;
  std::size_t held_bytes_ = 0;  // bodies of the requests that are open
  std::vector<std::uint64_t> closed_;
  std::uint64_t last_ = 0;
  Micros accept_until_ = Micros::max();
  net::Listener listener_;
};

}  // namespace tinspan::platform
