#include "lease/kv_store.hpp"

#include <openssl/evp.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "front/http/http1.hpp"

namespace tinspan::lease {
namespace {

constexpr net::Connection::Limits kLimits{.max_read_bytes = 256 << 10, .max_write_bytes = 64 << 10};

std::string FromBase64(const std::string& text) {
  if (text.size() % 4 != 0 || text.size() > 64 << 10) throw std::runtime_error("Value: expected base64");
  std::string out(text.size() / 4 * 3, '\0');
  const int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
  if (n < 0) throw std::runtime_error("Value: expected base64");
  const std::size_t pad = text.size() - text.find_last_not_of('=') - 1;
  out.resize(static_cast<std::size_t>(n) - std::min<std::size_t>(pad, 2));
  return out;
}

std::uint64_t Whole(const nlohmann::json& in, const char* key) {
  const auto found = in.find(key);
  if (found == in.end() || !found->is_number_unsigned()) {
    throw std::runtime_error(std::string(key) + ": expected a whole number from 0");
  }
  return found->get<std::uint64_t>();
}

}  // namespace

Stored ReadRecord(std::string_view json) {
  const nlohmann::json told = nlohmann::json::parse(json, nullptr, false);
  if (!told.is_array() || told.size() != 1 || !told[0].is_object()) {
    throw std::runtime_error("the answer: expected an array with one record");
  }
  const nlohmann::json& record = told[0];
  Stored stored;
  stored.index = Whole(record, "ModifyIndex");
  stored.token = Token{Whole(record, "Flags")};
  if (stored.token > kMostToken) throw std::runtime_error("Flags: expected a token of 2^62 at most");
  const auto value = record.find("Value");
  if (value == record.end() || !value->is_string()) throw std::runtime_error("Value: expected a text");
  const nlohmann::json ours = nlohmann::json::parse(FromBase64(value->get<std::string>()), nullptr, false);
  if (!ours.is_object()) throw std::runtime_error("Value: expected a record of ours, a JSON object");
  stored.number = Whole(ours, "number");
  return stored;
}

KvStore::KvStore(net::EventLoop& loop, const net::Endpoint& store, std::string key, Micros limit,
                 Answered answered)
    : loop_(loop), store_(store), key_(std::move(key)), limit_(limit), answered_(std::move(answered)) {}

KvStore::~KvStore() {
  if (timer_) loop_.Timers().Cancel(*timer_);
}

void KvStore::Call(const Ask& ask, const std::string& text) {
  old_.reset();
  write_ = ask.what == Ask::What::kWrite;
  const std::string host = " HTTP/1.1\r\nHost: " + store_.Text() + "\r\n";
  if (write_) {
    request_ = "PUT /v1/kv/" + key_ + "?cas=" + std::to_string(ask.index) +
               "&flags=" + std::to_string(Number(ask.token)) + host +
               "Content-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
               "\r\n\r\n" + text;
  } else {
    request_ = "GET /v1/kv/" + key_ + host + "\r\n";
  }
  timer_ = loop_.Timers().Set(net::Now() + limit_, [this](Micros) {
    timer_.reset();
    Failed("no answer");
  });
  if (connection_ && connection_->IsOpen()) return OnOpen(*connection_);
  connection_ = std::make_unique<net::Connection>(loop_, store_, *this, kLimits);
}

void KvStore::OnOpen(net::Connection& connection) {
  if (!request_.empty()) connection.Write(request_);
}

void KvStore::OnData(net::Connection& connection) {
  if (request_.empty()) return LetGo();  // it speaks unasked
  http::Response response;
  std::size_t expect = 0;
  const http::Taken taken = http::TakeResponse(connection.Unread(), response, expect);
  if (taken == http::Taken::kMore) return;
  if (taken == http::Taken::kUnreadable) return Failed("an answer that cannot be read");
  connection.Consume(response.length);
  if (!response.keep) LetGo();
  const int code = response.status;
  const std::string& body = response.body;
  Answer answer;
  try {
    if (write_ && code == 200 && (body == "true" || body == "false")) {
      answer.written = true;
    } else if (!write_ && code == 404) {
      answer.stood = Stored{};
    } else if (!write_ && code == 200) {
      answer.stood = ReadRecord(body);
    } else {
      answer.failed = "status " + std::to_string(code);
    }
  } catch (const std::exception& error) {
    answer.failed = error.what();
  }
  Finish(answer);
}

void KvStore::OnClosed(net::Connection&) {
  if (request_.empty()) return LetGo();
  Failed("connection lost");
}

void KvStore::LetGo() {
  if (!connection_) return;
  connection_->Close();
  old_ = std::move(connection_);
}

void KvStore::Failed(const std::string& why) {
  LetGo();  // a late answer must not be read as the next call's
  Answer answer;
  answer.failed = why;
  Finish(answer);
}

void KvStore::Finish(const Answer& answer) {
  if (timer_) loop_.Timers().Cancel(*timer_);
  timer_.reset();
  request_.clear();
  answered_(answer);
}

}  // namespace tinspan::lease
