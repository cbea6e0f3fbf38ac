// One record in a key-value store over HTTP, by the interface of Consul's KV store (GET and PUT /v1/kv/KEY
// with `cas` and `flags`): one request at a time over a persistent connection. The token stands in the
// record's flags, so that operators see it with the store's own tools. What to request is decided by
// lease::Publisher.
//
// Safe against: a store that does not respond (a request fails after its timeout and its connection is
// closed, so that a late response is never taken for the next request's), unreadable responses, and a record
// that is not ours.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

#include "lease/publisher.hpp"
#include "net/connection.hpp"

namespace tinspan::lease {

/// Why a request to the store failed.
struct StoreError {
  enum class Code { kTimeout, kConnectionLost, kUnreadableResponse, kUnexpectedStatus, kInvalidRecord };
  Code code;
  std::string detail;  // for the log
};

/// The response to a write. Whether it was accepted is known from the next read.
struct WriteCompleted {};

using StoreResponse = std::variant<StoredRecord, WriteCompleted>;
using StoreResult = tl::expected<StoreResponse, StoreError>;

class KvStore final : public net::Connection::Owner {
 public:
  using ResultHandler = std::function<void(const StoreResult&)>;

  /// Requests to the record `key` of the store at `endpoint`; each fails after `timeout`. `on_result` is
  /// called once for each request, from within the event loop. `loop` must outlive this object.
  KvStore(net::EventLoop& loop, const net::Endpoint& endpoint, std::string key, Micros timeout,
          ResultHandler on_result);
  ~KvStore();
  KvStore(const KvStore&) = delete;
  KvStore& operator=(const KvStore&) = delete;
  KvStore(KvStore&&) = delete;
  KvStore& operator=(KvStore&&) = delete;

  /// Sends a read; only while no request is pending.
  void Read();
  /// Sends a write of the record `body` (JSON); only while no request is pending.
  void Write(const WriteRequest& request, const std::string& body);

  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  enum class Method { kRead, kWrite };

  std::string RequestHead(const std::string& method_and_target) const;
  void Send(Method method, std::string request);
  StoreResult ReadResponse(int status, const std::string& body) const;
  void Fail(StoreError::Code code, const std::string& detail);
  void Finish(const StoreResult& result);
  void CloseConnection();

  net::EventLoop& loop_;
  const net::Endpoint endpoint_;
  const std::string key_;
  const Micros timeout_;
  ResultHandler on_result_;
  std::unique_ptr<net::Connection> connection_;
  std::unique_ptr<net::Connection> closed_connection_;  // closed from within its own callback
  std::optional<net::TimerQueue::Id> timer_;
  std::string request_;  // empty: none is pending
  Method method_ = Method::kRead;
};

/// Parses the response to a read. Throws std::runtime_error, naming the field, if it is not a record of ours.
StoredRecord ParseRecord(std::string_view json);

}  // namespace tinspan::lease
