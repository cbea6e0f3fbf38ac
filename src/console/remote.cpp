#include "console/remote.hpp"

#include <charconv>
#include <utility>

#include "front/http/http1.hpp"

namespace tinspan::console {
namespace {

constexpr net::Connection::Limits kLimits{.max_read_bytes = 8 << 20, .max_write_bytes = 64 << 10};
constexpr Micros kEvery{250'000};
constexpr Micros kAgain{1'000'000};
constexpr Micros kLimit{2'500'000};  // for an answer

}  // namespace

Remote::Remote(net::EventLoop& loop, const net::Endpoint& at, std::string token, record::Sink& sink)
    : loop_(loop), at_(at), token_(std::move(token)), sink_(sink) {
  Ask();
}

Remote::~Remote() { loop_.Timers().Cancel(timer_); }

void Remote::Ask() {
  loop_.Timers().Cancel(timer_);
  timer_ =
      loop_.Timers().Set(net::Now() + kLimit, [this](Micros) { Failed("no answer from " + at_.Text()); });
  if (connection_ && connection_->IsOpen()) return OnOpen(*connection_);
  connection_ = std::make_unique<net::Connection>(loop_, at_, *this, kLimits);
}

void Remote::OnOpen(net::Connection& connection) {
  connection.Write("GET /-/records?offset=" + std::to_string(offset_) + " HTTP/1.1\r\nHost: " + at_.Text() +
                   "\r\nAuthorization: Bearer " + token_ + "\r\n\r\n");
}

void Remote::OnData(net::Connection& connection) {
  const std::string_view unread = connection.Unread();
  http::Head head;
  const int status = http::ReadResponse(unread, head);
  if (status < 0) return;
  std::uint64_t length = 0;
  const auto framing = status == 0 ? http::ResponseFraming(head, false, length) : std::nullopt;
  if (!framing || *framing == http::BodyReader::Framing::kChunked)
    return Failed("an answer that cannot be read");
  if (unread.size() < head.length + length) return connection.ExpectMessage(head.length + length);
  if (head.status != 200) {
    refused_ = head.status == 401 || head.status == 404 || head.status == 405;
    return Failed(head.status == 401 ? "the operator's token is not accepted"
                  : head.status == 404
                      ? "no records there: no record section, recording is off, or no operator's token"
                      : "answered with " + std::to_string(head.status));
  }
  const std::string_view next = head.Field("Tinspan-Next");
  std::uint64_t offset = 0;
  std::from_chars(next.data(), next.data() + next.size(), offset);
  Take(unread.substr(head.length, length));
  offset_ = offset;
  const bool close = http::HasToken(head.Field("Connection"), "close");
  connection.Consume(head.length + length);
  if (close) {
    connection.Close();
    old_ = std::move(connection_);
  }
  trouble_.clear();
  answered_ = true;
  loop_.Timers().Cancel(timer_);
  timer_ = loop_.Timers().Set(net::Now() + kEvery, [this](Micros) { Ask(); });
}

// Bytes that begin with the magic begin anew: another segment, or another life.
void Remote::Take(std::string_view bytes) {
  if (bytes.starts_with(record::kMagic)) reader_ = std::make_unique<record::SegmentReader>(at_.Text());
  if (!reader_) return;
  reader_->Feed(bytes);
  for (auto state = reader_->Next(); state != record::SegmentReader::State::kMore; state = reader_->Next()) {
    if (state == record::SegmentReader::State::kTrouble) {
      sink_.OnTrouble(reader_->Problem());
      continue;
    }
    const record::wire::Record& record = reader_->Record();
    if (record.has_header()) {
      name_ = {at_.Text(), record.header().name(), record.header().incarnation(), record.header().segment()};
    }
    sink_.OnRecord(name_, reader_->At(), record);
  }
}

void Remote::OnClosed(net::Connection&) { Failed("connection to " + at_.Text() + " lost"); }

void Remote::Failed(std::string why) {
  trouble_ = std::move(why);
  if (connection_) {
    connection_->Close();
    old_ = std::move(connection_);
  }
  loop_.Timers().Cancel(timer_);
  timer_ = loop_.Timers().Set(net::Now() + kAgain, [this](Micros) { Ask(); });
}

}  // namespace tinspan::console
