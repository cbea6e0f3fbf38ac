// One record in a key-value store over HTTP, in the manner of Consul's KV store (GET and PUT /v1/kv/KEY with
// `cas` and `flags`): one call at a time over a connection that is kept. The token stands in the record's
// flags, so that operators see it with the store's own tools. It decides nothing: what to ask comes from
// lease::Publisher.
//
// Guarded against: a store that is silent (a call is given up after its limit and its connection closed, so
// that a late answer is never taken for the next call's), answers that cannot be read, and a record that is
// not ours.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "lease/publisher.hpp"
#include "net/connection.hpp"

namespace tinspan::lease {

class KvStore final : public net::Connection::Owner {
 public:
  struct Answer {
    std::optional<Stored> stood;  // a read
    bool written = false;         // a write was answered; whether it was taken, the next read tells
    std::string failed;           // neither: why
  };
  using Answered = std::function<void(const Answer&)>;
  KvStore(net::EventLoop& loop, const net::Endpoint& store, std::string key, Micros limit, Answered answered);
  ~KvStore();
  KvStore(const KvStore&) = delete;
  KvStore& operator=(const KvStore&) = delete;

  // Only while no call is out. `text`: the record, for a write.
  void Call(const Ask& ask, const std::string& text);

  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  void Finish(const Answer& answer);
  void Failed(const std::string& why);
  void LetGo();

  net::EventLoop& loop_;
  const net::Endpoint store_;
  const std::string key_;
  const Micros limit_;
  Answered answered_;
  std::unique_ptr<net::Connection> connection_;
  std::unique_ptr<net::Connection> old_;  // closed from within its own call
  std::optional<net::TimerQueue::Id> timer_;
  std::string request_;  // empty: no call is out
  bool write_ = false;
};

// What an answer to a read says; throws std::runtime_error naming the field where it is no record of ours.
Stored ReadRecord(std::string_view json);

}  // namespace tinspan::lease
