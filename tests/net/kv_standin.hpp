// Stand-in for a key-value store, after the public description of Consul's KV endpoint: GET and PUT
// /v1/kv/KEY with `cas` and `flags`. It stores one record and the history of all writes.
#pragma once

#include <atomic>
#include <mutex>
#include <optional>

#include "harness.hpp"
#include "lease/history.hpp"

/// The store; it serves on its own thread. The public functions may be called from the test's thread.
class KvStandIn {
 public:
  KvStandIn() : thread_([this] { Run(); }) {}
  ~KvStandIn() {
    is_stopping_ = true;
    thread_.Join();
  }
  std::string Address() const { return server_.Address(); }
  struct Record {
    std::uint64_t index = 0, flags = 0, number = 0;
    std::string text;
  };
  Record Stored() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return record_;
  }
  // Describes the first violation of the write order; nullopt if there is none.
  std::optional<std::string> WriteViolation() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return history_.FindWriteViolation();
  }
  // The number of rejected writes.
  std::size_t RejectedWrites() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return history_.RejectedWrites();
  }
  // Delays the next write until ReleaseWrite(), like a slow network. Its writer waits, and may be stopped
  // meanwhile.
  void HoldNextWrite() { hold_next_write_ = true; }
  bool IsHoldingWrite() const { return is_holding_write_; }
  void ReleaseWrite() { release_requested_ = true; }
  // Applies the next write and closes its connection without a response.
  void DropNextResponse() { drop_next_response_ = true; }

 private:
  struct Connection {
    int fd;
    std::string received;
    bool is_write_held = false;
  };
  static std::string Base64(const std::string& text) {
    static constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
      std::uint32_t block = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        block = block << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0u);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        out += i + j > text.size() ? '=' : kDigits[block >> (18 - 6 * j) & 63];
      }
    }
    return out;
  }
  // The number that follows `mark` in `text`.
  static std::uint64_t NumberAfter(const std::string& text, const std::string& mark) {
    const std::size_t at = text.find(mark);
    CHECK_OR_THROW(at != std::string::npos);
    return std::stoull(text.substr(at + mark.size()));
  }
  void Run() {
    std::vector<Connection> connections;
    while (!is_stopping_) {
      std::vector<pollfd> poll_entries{{server_.Descriptor(), POLLIN, 0}};
      for (const Connection& connection : connections) poll_entries.push_back({connection.fd, POLLIN, 0});
      ::poll(poll_entries.data(), poll_entries.size(), 10);
      for (std::size_t i = 0; i < connections.size(); ++i) {
        Connection& connection = connections[i];
        if (poll_entries[i + 1].revents != 0) {
          char block[65536];
          const ssize_t size = ::recv(connection.fd, block, sizeof block, 0);
          // If the client disconnects while its write is held, the write is still applied later.
          if (size > 0) connection.received.append(block, static_cast<std::size_t>(size));
          if (size <= 0 && !connection.is_write_held) {
            ::close(connection.fd);
            connection.fd = -1;
            continue;
          }
        }
        while (connection.fd >= 0 && Serve(connection)) {
        }
      }
      std::erase_if(connections, [](const Connection& connection) { return connection.fd < 0; });
      if (poll_entries[0].revents != 0)
        connections.push_back({::accept(server_.Descriptor(), nullptr, nullptr), {}, false});
    }
    for (const Connection& connection : connections) ::close(connection.fd);
  }
  // Serves one request if it was received completely. Returns whether the next one may be tried.
  bool Serve(Connection& connection) {
    const std::size_t end = connection.received.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    const std::string head = connection.received.substr(0, end);
    const bool is_put = head.starts_with("PUT ");
    const std::size_t length = is_put ? NumberAfter(head, "Content-Length: ") : 0;
    if (connection.received.size() < end + 4 + length) return false;
    if (is_put && (connection.is_write_held || hold_next_write_.exchange(false))) {
      if (!connection.is_write_held) {
        release_requested_ = false;
        connection.is_write_held = is_holding_write_ = true;
      }
      if (!release_requested_) return false;
      connection.is_write_held = is_holding_write_ = false;
    }
    const std::string body = connection.received.substr(end + 4, length);
    connection.received.erase(0, end + 4 + length);
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string content, status = "200 OK";
    if (is_put) {
      const bool is_accepted = NumberAfter(head, "cas=") == record_.index;
      const std::uint64_t flags = NumberAfter(head, "flags="), number = NumberAfter(body, "\"number\":");
      if (is_accepted) {
        history_.RecordAcceptedWrite(tinspan::lease::Token{flags}, number);
        record_ = {record_.index + 7, flags, number, body};
      } else {
        history_.RecordRejectedWrite();
      }
      content = is_accepted ? "true" : "false";
      if (drop_next_response_.exchange(false)) {
        ::close(connection.fd);
        connection.fd = -1;
        return false;
      }
    } else if (record_.index == 0) {
      status = "404 Not Found";
    } else {
      content = R"([{"LockIndex":0,"Key":"tinspan/shop/health","Flags":)" + std::to_string(record_.flags) +
                R"(,"Value":")" + Base64(record_.text) + R"(","CreateIndex":7,"ModifyIndex":)" +
                std::to_string(record_.index) + "}]";
    }
    const std::string response =
        "HTTP/1.1 " + status +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(content.size()) +
        "\r\n\r\n" + content;
    ::send(connection.fd, response.data(), response.size(), MSG_NOSIGNAL);
    return true;
  }

  TcpListener server_;
  mutable std::mutex mutex_;
  Record record_;
  tinspan::lease::History history_;
  std::atomic<bool> is_stopping_{false}, hold_next_write_{false}, is_holding_write_{false},
      release_requested_{false}, drop_next_response_{false};
  TestThread thread_;
};
