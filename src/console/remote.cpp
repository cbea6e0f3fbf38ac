#include "console/remote.hpp"

#include <charconv>
#include <utility>

#include "front/http/http1.hpp"

namespace tinspan::console {
namespace {

constexpr net::Connection::Limits kLimits{.max_read_bytes = 8 << 20, .max_write_bytes = 64 << 10};
constexpr Micros kPollInterval{250'000};
constexpr Micros kRetryDelay{1'000'000};
constexpr Micros kResponseTimeout{2'500'000};

}  // namespace

Remote::Remote(net::EventLoop& loop, const net::Endpoint& endpoint, std::string token,
               record::RecordSink& sink)
    : loop_(loop), endpoint_(endpoint), token_(std::move(token)), sink_(sink) {
  SendRequest();
}

Remote::~Remote() { loop_.Timers().Cancel(timer_); }

void Remote::SendRequest() {
  loop_.Timers().Cancel(timer_);
  timer_ = loop_.Timers().Set(net::Now() + kResponseTimeout,
                              [this](Micros) { Fail("no answer from " + endpoint_.Text()); });
  if (connection_ && connection_->IsReusable()) return OnOpen(*connection_);
  connection_ = std::make_unique<net::Connection>(loop_, endpoint_, *this, kLimits);
}

void Remote::OnOpen(net::Connection& connection) {
  connection.Write("GET /-/records?offset=" + std::to_string(offset_) + " HTTP/1.1\r\nHost: " +
                   endpoint_.Text() + "\r\nAuthorization: Bearer " + token_ + "\r\n\r\n");
}

void Remote::OnData(net::Connection& connection) {
  const std::string_view unread = connection.Unread();
  http::Head head;
  const int status = http::ParseResponseHead(unread, head);
  if (status < 0) return;
  std::uint64_t length = 0;
  const auto framing = status == 0 ? http::ResponseFraming(head, false, length) : std::nullopt;
  if (!framing || *framing == http::BodyReader::Framing::kChunked)
    return Fail("an answer that cannot be read");
  if (unread.size() < head.length + length) return connection.ExpectMessage(head.length + length);
  if (head.status != 200) {
    is_rejected_ = head.status == 401 || head.status == 404 || head.status == 405;
    return Fail(head.status == 401 ? "the operator's token is not accepted"
                : head.status == 404
                    ? "no records there: no record section, recording is off, or no operator's token"
                    : "answered with " + std::to_string(head.status));
  }
  const std::string_view next = head.Field("Tinspan-Next");
  std::uint64_t offset = 0;
  std::from_chars(next.data(), next.data() + next.size(), offset);
  ReadSegmentBytes(unread.substr(head.length, length));
  offset_ = offset;
  const bool should_close = http::ListContainsToken(head.Field("Connection"), "close");
  connection.Consume(head.length + length);
  if (should_close || !connection.Unread().empty()) {
    connection.Close();
    closed_connection_ = std::move(connection_);
  }
  fault_.clear();
  has_answered_ = true;
  loop_.Timers().Cancel(timer_);
  timer_ = loop_.Timers().Set(net::Now() + kPollInterval, [this](Micros) { SendRequest(); });
}

// Bytes that start with the magic start a new stream: another segment, or another incarnation.
void Remote::ReadSegmentBytes(std::string_view bytes) {
  if (bytes.starts_with(record::kMagic)) reader_ = std::make_unique<record::SegmentReader>(endpoint_.Text());
  if (!reader_) return;
  reader_->Feed(bytes);
  for (auto state = reader_->Next(); state != record::SegmentReader::State::kMore; state = reader_->Next()) {
    if (state == record::SegmentReader::State::kError) {
      sink_.OnReadError(reader_->Error());
      continue;
    }
    const record::wire::Record& record = reader_->Record();
    if (record.has_header()) {
      name_ = {endpoint_.Text(), record.header().name(), record.header().incarnation(),
               record.header().segment()};
    }
    sink_.OnRecord(name_, reader_->Time(), record);
  }
}

void Remote::OnClosed(net::Connection&) { Fail("connection to " + endpoint_.Text() + " lost"); }

void Remote::Fail(std::string reason) {
  fault_ = std::move(reason);
  if (connection_) {
    connection_->Close();
    closed_connection_ = std::move(connection_);
  }
  loop_.Timers().Cancel(timer_);
  timer_ = loop_.Timers().Set(net::Now() + kRetryDelay, [this](Micros) { SendRequest(); });
}

}  // namespace tinspan::console
