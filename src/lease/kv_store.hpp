// HTTP client for one record in a key-value store with the interface of Consul's KV store (GET and PUT
// /v1/kv/KEY with `cas` and `flags`). Sends one request at a time over a persistent connection. The token is
// stored in the record's flags, so that operators can see it with the store's own tools. lease::Publisher
// decides what to request.
//
// Handles these faults:
// - the store does not respond: the request fails after its timeout and its connection is closed, so that a
//   late response is never taken for the response to the next request;
// - unreadable responses;
// - a record that was not written by tinspan.
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

/// The response to a write. It does not say whether the write was accepted; the next read shows that.
struct WriteCompleted {};

using StoreResponse = std::variant<StoredRecord, WriteCompleted>;
using StoreResult = tl::expected<StoreResponse, StoreError>;

/// Owns the connection to the store. Not thread-safe: use it from the event loop's thread only.
class KvStore final : public net::Connection::Owner {
 public:
  using ResultHandler = std::function<void(const StoreResult&)>;

  /// Sends requests for the record `key` to the store at `endpoint`; a request fails after `timeout`. The
  /// event loop calls `on_result` once for each request. `loop` must outlive this object.
  KvStore(net::EventLoop& loop, const net::Endpoint& endpoint, std::string key, Micros timeout,
          ResultHandler on_result);
  ~KvStore();
  KvStore(const KvStore&) = delete;
  KvStore& operator=(const KvStore&) = delete;
  KvStore(KvStore&&) = delete;
  KvStore& operator=(KvStore&&) = delete;

  /// Sends a read. No other request may be pending.
  void Read();
  /// Sends a write of the record `body` (JSON). No other request may be pending.
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
  std::unique_ptr<net::Connection> closed_connection_;  // kept while it may be in its callback
  std::optional<net::TimerQueue::Id> timer_;
  std::string request_;  // empty if no request is pending
  Method method_ = Method::kRead;
};

/// Parses the response to a read. Throws std::runtime_error with the name of the field if the response is not
/// a valid record.
StoredRecord ParseRecord(std::string_view json);

}  // namespace tinspan::lease
