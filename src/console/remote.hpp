// Records of a running gateway over its operator's endpoint, GET /-/records, asked for again and again. I/O.
#pragma once

#include <memory>
#include <string>

#include "net/connection.hpp"
#include "record/reader.hpp"

namespace tinspan::console {

class Remote final : public net::Connection::Owner {
 public:
  // `token`: the operator's. Records go to `sink`; a stream that breaks is taken up again where it was.
  Remote(net::EventLoop& loop, const net::Endpoint& at, std::string token, record::Sink& sink);
  ~Remote();

  // Why nothing comes, or empty.
  const std::string& Trouble() const { return trouble_; }
  bool Answered() const { return answered_; }  // once at least
  // A status that asking again will not change: a wrong token, no such endpoint.
  bool Refused() const { return refused_; }
  void EndRound() { old_.reset(); }

  void OnOpen(net::Connection& connection) override;
  void OnData(net::Connection& connection) override;
  void OnClosed(net::Connection& connection) override;

 private:
  void Ask();
  void Failed(std::string why);
  void Take(std::string_view bytes);

  net::EventLoop& loop_;
  const net::Endpoint at_;
  const std::string token_;
  record::Sink& sink_;
  std::unique_ptr<net::Connection> connection_, old_;
  net::TimerQueue::Id timer_{};
  std::uint64_t offset_ = 0;
  record::SegmentName name_;
  std::unique_ptr<record::SegmentReader> reader_;
  std::string trouble_;
  bool answered_ = false;
  bool refused_ = false;
};

}  // namespace tinspan::console
