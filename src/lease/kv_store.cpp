#include "lease/kv_store.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "front/http/http1.hpp"

namespace tinspan::lease {
namespace {

constexpr net::Connection::Limits kConnectionLimits{.max_read_bytes = 256 << 10, .max_write_bytes = 64 << 10};
constexpr std::size_t kMaxValueBytes = 64 << 10;  // a record in base64
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

// Base64 encodes each block of three bytes as four characters; the last block ends in up to two '='.
constexpr std::size_t kBase64BlockBytes = 3;
constexpr std::size_t kBase64BlockChars = 4;
constexpr std::size_t kMaxBase64Padding = 2;

std::string DecodeBase64(const std::string& text) {
  if (text.size() % kBase64BlockChars != 0 || text.size() > kMaxValueBytes) {
    throw std::runtime_error("Value: expected base64");
  }
  std::string decoded(text.size() / kBase64BlockChars * kBase64BlockBytes, '\0');
  const int decoded_size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(decoded.data()),
                      reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
  if (decoded_size < 0) throw std::runtime_error("Value: expected base64");
  const std::size_t padding = text.size() - text.find_last_not_of('=') - 1;
  decoded.resize(static_cast<std::size_t>(decoded_size) - std::min(padding, kMaxBase64Padding));
  return decoded;
}

std::uint64_t UnsignedField(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_unsigned()) {
    throw std::runtime_error(std::string(key) + ": expected an unsigned integer");
  }
  return found->get<std::uint64_t>();
}

}  // namespace

StoredRecord ParseRecord(std::string_view json) {
  const nlohmann::json response = nlohmann::json::parse(json, nullptr, false);
  if (!response.is_array() || response.size() != 1 || !response[0].is_object()) {
    throw std::runtime_error("response: expected a JSON array with one object");
  }
  const nlohmann::json& entry = response[0];
  StoredRecord stored;
  stored.index = UnsignedField(entry, "ModifyIndex");
  stored.token = Token{UnsignedField(entry, "Flags")};
  if (stored.token > kMaxToken) throw std::runtime_error("Flags: expected a token of at most 2^62");
  const auto value = entry.find("Value");
  if (value == entry.end() || !value->is_string()) throw std::runtime_error("Value: expected a string");
  const nlohmann::json record =
      nlohmann::json::parse(DecodeBase64(value->get<std::string>()), nullptr, false);
  if (!record.is_object()) throw std::runtime_error("Value: expected a JSON object in base64");
  stored.number = UnsignedField(record, "number");
  return stored;
}

KvStore::KvStore(net::EventLoop& loop, const net::Endpoint& endpoint, std::string key, Micros timeout,
                 ResultHandler on_result)
    : loop_(loop),
      endpoint_(endpoint),
      key_(std::move(key)),
      timeout_(timeout),
      on_result_(std::move(on_result)) {}

KvStore::~KvStore() {
  if (timer_) loop_.Timers().Cancel(*timer_);
}

std::string KvStore::RequestHead(const std::string& method_and_target) const {
  return method_and_target + " HTTP/1.1\r\nHost: " + endpoint_.Text() + "\r\n";
}

void KvStore::Read() { Send(Method::kRead, RequestHead("GET /v1/kv/" + key_) + "\r\n"); }

void KvStore::Write(const WriteRequest& request, const std::string& body) {
  const std::string query =
      "?cas=" + std::to_string(request.expected_index) + "&flags=" + std::to_string(ToNumber(request.token));
  Send(Method::kWrite, RequestHead("PUT /v1/kv/" + key_ + query) +
                           "Content-Type: application/json\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
}

void KvStore::Send(Method method, std::string request) {
  closed_connection_.reset();
  method_ = method;
  request_ = std::move(request);
  timer_ = loop_.Timers().Set(net::Now() + timeout_, [this](Micros) {
    timer_.reset();
    Fail(StoreError::Code::kTimeout, "no response");
  });
  if (connection_ && connection_->IsReusable()) {
    OnOpen(*connection_);
    return;
  }
  connection_ = std::make_unique<net::Connection>(loop_, endpoint_, *this, kConnectionLimits);
}

void KvStore::OnOpen(net::Connection& connection) {
  if (!request_.empty()) connection.Write(request_);
}

void KvStore::OnData(net::Connection& connection) {
  if (request_.empty()) {  // unsolicited bytes
    CloseConnection();
    return;
  }
  http::Response response;
  std::size_t expect = 0;
  const http::ParseResult result = http::ParseResponse(connection.Unread(), response, expect);
  if (result == http::ParseResult::kIncomplete) return;
  if (result == http::ParseResult::kMalformed) {
    Fail(StoreError::Code::kUnreadableResponse, "unreadable response");
    return;
  }
  connection.Consume(response.length);
  if (!response.can_reuse_connection || !connection.Unread().empty()) CloseConnection();
  Finish(ReadResponse(response.status, response.body));
}

StoreResult KvStore::ReadResponse(int status, const std::string& body) const {
  const bool is_read = method_ == Method::kRead;
  if (is_read && status == kStatusNotFound) return StoredRecord{};
  const bool is_write_result = body == "true" || body == "false";
  if (status != kStatusOk || (!is_read && !is_write_result)) {
    return tl::unexpected(
        StoreError{StoreError::Code::kUnexpectedStatus, "status " + std::to_string(status)});
  }
  if (!is_read) return WriteCompleted{};
  try {
    return ParseRecord(body);
  } catch (const std::exception& error) {
    return tl::unexpected(StoreError{StoreError::Code::kInvalidRecord, error.what()});
  }
}

void KvStore::OnClosed(net::Connection&) {
  if (request_.empty()) {
    CloseConnection();
    return;
  }
  Fail(StoreError::Code::kConnectionLost, "connection lost");
}

void KvStore::CloseConnection() {
  if (!connection_) return;
  connection_->Close();
  closed_connection_ = std::move(connection_);
}

void KvStore::Fail(StoreError::Code code, const std::string& detail) {
  CloseConnection();  // so that a late response is not taken for the response to the next request
  Finish(tl::unexpected(StoreError{code, detail}));
}

void KvStore::Finish(const StoreResult& result) {
  if (timer_) loop_.Timers().Cancel(*timer_);
  timer_.reset();
  request_.clear();
  on_result_(result);
}

}  // namespace tinspan::lease
