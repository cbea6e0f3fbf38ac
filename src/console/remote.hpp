// Polls the records of a running gateway from its operator endpoint, GET /-/records. I/O.
#pragma once

#include <memory>
#include <string>

#include "net/connection.hpp"
#include "record/reader.hpp"

namespace tinspan::console {

class Remote final : public net::Connection::Owner {
 public:
  // `token` is the operator's token. Records go to `sink`, which must outlive this object. After a failure
  // the next request continues at the same offset.
  Remote(net::EventLoop& loop, const net::Endpoint& endpoint, std::string token, record::RecordSink& sink);
  ~Remote();

  // Why no records arrive; empty if they do.
  const std::string& Fault() const { return fault_; }
  bool HasAnswered() const { return has_answered_; }  // at least once
  // The gateway answered with a status that a retry will not change: wrong token or no such endpoint.
  bool IsRejected() const { return is_rejected_; }
  // Call outside the event loop: a connection cannot be destroyed within its own callback.
  void ReleaseClosedConnection() { closed_connection_.reset(); }

  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  void SendRequest();
  void Fail(std::string reason);
  void ReadSegmentBytes(std::string_view bytes);

  net::EventLoop& loop_;
  const net::Endpoint endpoint_;
  const std::string token_;
  record::RecordSink& sink_;
  std::unique_ptr<net::Connection> connection_, closed_connection_;
  net::TimerQueue::Id timer_{};
  std::uint64_t offset_ = 0;
  record::SegmentName name_;
  std::unique_ptr<record::SegmentReader> reader_;
  std::string fault_;
  bool has_answered_ = false;
  bool is_rejected_ = false;
};

}  // namespace tinspan::console
