// A key-value store played by the test, from the public description of Consul's KV endpoint: GET and PUT
// /v1/kv/KEY with `cas` and `flags`. It keeps one record and the history of all that was written.
#pragma once

#include <atomic>
#include <mutex>
#include <optional>

#include "harness.hpp"
#include "lease/history.hpp"

/// The store, with a thread of its own.
class KvStandin {
 public:
  KvStandin() : thread_([this] { Run(); }) {}
  ~KvStandin() {
    stop_ = true;
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
  // What is broken in the order of all that was taken, in words; and how many writes were refused.
  std::optional<std::string> Broken() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return history_.FindWriteViolation();
  }
  std::size_t Refused() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return history_.RejectedWrites();
  }
  // The next write is held until Release (as by a slow network): its writer waits, and may be stopped
  // meanwhile.
  void HoldNextWrite() { hold_ = true; }
  bool Holding() const { return holding_; }
  void Release() { release_ = true; }
  // Takes the next write and ends its connection without an answer.
  void DropNextAnswer() { drop_ = true; }

 private:
  struct Caller {
    int fd;
    std::string in;
    bool held = false;
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
  static std::uint64_t After(const std::string& text, const std::string& mark) {
    const std::size_t at = text.find(mark);
    CHECK_OR_THROW(at != std::string::npos);
    return std::stoull(text.substr(at + mark.size()));
  }
  void Run() {
    std::vector<Caller> callers;
    while (!stop_) {
      std::vector<pollfd> waits{{server_.Descriptor(), POLLIN, 0}};
      for (const Caller& caller : callers) waits.push_back({caller.fd, POLLIN, 0});
      ::poll(waits.data(), waits.size(), 10);
      for (std::size_t i = 0; i < callers.size(); ++i) {
        Caller& caller = callers[i];
        if (waits[i + 1].revents != 0) {
          char block[65536];
          const ssize_t n = ::recv(caller.fd, block, sizeof block, 0);
          // A caller that went with a write held: what it wrote arrives all the same, later.
          if (n > 0) caller.in.append(block, static_cast<std::size_t>(n));
          if (n <= 0 && !caller.held) {
            ::close(caller.fd);
            caller.fd = -1;
            continue;
          }
        }
        while (caller.fd >= 0 && Serve(caller)) {
        }
      }
      std::erase_if(callers, [](const Caller& caller) { return caller.fd < 0; });
      if (waits[0].revents != 0)
        callers.push_back({::accept(server_.Descriptor(), nullptr, nullptr), {}, false});
    }
    for (const Caller& caller : callers) ::close(caller.fd);
  }
  // One whole request, if it is there.
  bool Serve(Caller& caller) {
    const std::size_t end = caller.in.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    const std::string head = caller.in.substr(0, end);
    const bool put = head.starts_with("PUT ");
    const std::size_t length = put ? After(head, "Content-Length: ") : 0;
    if (caller.in.size() < end + 4 + length) return false;
    if (put && (caller.held || hold_.exchange(false))) {
      if (!caller.held) {
        release_ = false;
        caller.held = holding_ = true;
      }
      if (!release_) return false;
      caller.held = holding_ = false;
    }
    const std::string body = caller.in.substr(end + 4, length);
    caller.in.erase(0, end + 4 + length);
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string answer, status = "200 OK";
    if (put) {
      const bool taken = After(head, "cas=") == record_.index;
      const std::uint64_t flags = After(head, "flags="), number = After(body, "\"number\":");
      if (taken) {
        history_.RecordAcceptedWrite(tinspan::lease::Token{flags}, number);
        record_ = {record_.index + 7, flags, number, body};
      } else {
        history_.RecordRejectedWrite();
      }
      answer = taken ? "true" : "false";
      if (drop_.exchange(false)) {
        ::close(caller.fd);
        caller.fd = -1;
        return false;
      }
    } else if (record_.index == 0) {
      status = "404 Not Found";
    } else {
      answer = R"([{"LockIndex":0,"Key":"tinspan/shop/health","Flags":)" + std::to_string(record_.flags) +
               R"(,"Value":")" + Base64(record_.text) + R"(","CreateIndex":7,"ModifyIndex":)" +
               std::to_string(record_.index) + "}]";
    }
    const std::string out = "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(answer.size()) + "\r\n\r\n" + answer;
    ::send(caller.fd, out.data(), out.size(), MSG_NOSIGNAL);
    return true;
  }

  TcpListener server_;
  mutable std::mutex mutex_;
  Record record_;
  tinspan::lease::History history_;
  std::atomic<bool> stop_{false}, hold_{false}, holding_{false}, release_{false}, drop_{false};
  TestThread thread_;
};
