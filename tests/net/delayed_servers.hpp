// Servers and clients of the platform for tests that keep many requests in flight: the servers answer every
// request after a fixed delay.
#pragma once

#include <deque>
#include <list>
#include <memory>

#include "platform_world.hpp"

namespace {

/// Milliseconds of the monotonic clock.
inline std::int64_t SteadyMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

/// Accepts connections at `listeners`, which must outlive it, and answers `OK` with `body` to each request
/// after `delay_ms`. Runs on its own thread, which the destructor joins.
class DelayedServers {
 public:
  DelayedServers(std::vector<const TcpListener*> listeners, int delay_ms, const std::string& body = "abc")
      : DelayedServers(std::move(listeners), delay_ms, std::vector<std::string>{body}) {}
  /// Answers with each of the bodies in turn.
  DelayedServers(std::vector<const TcpListener*> listeners, int delay_ms, std::vector<std::string> bodies)
      : listeners_(std::move(listeners)),
        delay_ms_(delay_ms),
        bodies_(std::move(bodies)),
        thread_([this] { Run(); }) {}
  DelayedServers(const DelayedServers&) = delete;
  DelayedServers& operator=(const DelayedServers&) = delete;
  ~DelayedServers() {
    is_stopping_ = true;
    thread_.Join();
  }

 private:
  struct Connection {
    TcpPeer peer;
    std::string unread;
    std::string unsent;
    bool is_closed = false;
  };
  struct DueResponse {
    std::int64_t due_at_ms;
    Connection* connection;
    std::string reference;
  };

  void Run() {
    while (!is_stopping_) {
      std::vector<pollfd> poll_entries;
      for (const TcpListener* const listener : listeners_) {
        poll_entries.push_back({listener->Descriptor(), POLLIN, 0});
      }
      for (const Connection& connection : connections_) {
        poll_entries.push_back({connection.is_closed ? -1 : connection.peer.Descriptor(), POLLIN, 0});
      }
      ::poll(poll_entries.data(), poll_entries.size(), kPollTimeoutMs);
      std::size_t position = listeners_.size();
      for (Connection& connection : connections_) {
        if (poll_entries[position++].revents != 0) Receive(connection);
      }
      for (std::size_t index = 0; index < listeners_.size(); ++index) {
        if (poll_entries[index].revents != 0) connections_.emplace_back(listeners_[index]->Accept());
      }
      SendDueResponses();
    }
  }

  void Receive(Connection& connection) {
    std::array<char, 65536> block;
    const ssize_t size = ::recv(connection.peer.Descriptor(), block.data(), block.size(), MSG_DONTWAIT);
    if (size <= 0) {
      connection.is_closed = true;
      return;
    }
    connection.unread.append(block.data(), static_cast<std::size_t>(size));
    // These requests have no body: a request line and an empty line.
    std::size_t end = 0;
    while ((end = connection.unread.find("\r\n\r\n")) != std::string::npos) {
      const std::string line = connection.unread.substr(0, end);
      connection.unread.erase(0, end + 4);
      if (!line.starts_with("REQ ")) continue;
      responses_.push_back({SteadyMs() + delay_ms_, &connection, line.substr(4, 16)});
    }
  }

  void SendDueResponses() {
    while (!responses_.empty() && responses_.front().due_at_ms <= SteadyMs()) {
      const DueResponse answer = responses_.front();
      responses_.pop_front();
      if (answer.connection->is_closed) continue;
      answer.connection->unsent +=
          OkResponse(bodies_[responses_sent_++ % bodies_.size()], "", answer.reference);
    }
    for (Connection& connection : connections_) SendUnsent(connection);
  }

  // Sends what the socket accepts now, since the instance may pause reading from its servers.
  static void SendUnsent(Connection& connection) {
    while (!connection.is_closed && !connection.unsent.empty()) {
      const ssize_t sent = ::send(connection.peer.Descriptor(), connection.unsent.data(),
                                  connection.unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent <= 0) return;
      connection.unsent.erase(0, static_cast<std::size_t>(sent));
    }
  }

  static constexpr int kPollTimeoutMs = 2;

  std::vector<const TcpListener*> listeners_;
  int delay_ms_;
  std::vector<std::string> bodies_;
  std::size_t responses_sent_ = 0;
  std::list<Connection> connections_;
  std::deque<DueResponse> responses_;
  std::atomic<bool> is_stopping_{false};
  TestThread thread_;
};

/// When one request was sent and answered, and with which status.
struct RequestRecord {
  std::int64_t written_at_ms = 0;
  std::int64_t answered_at_ms = 0;  // 0: not answered
  std::string status{};
};

/// How fast a client reads its responses.
struct ReadPace {
  std::int64_t bytes_per_s = 0;  // 0: as fast as it can
  int receive_buffer_bytes = 0;  // SO_RCVBUF; 0: the system's default
};

/// A client that keeps `depth` requests in flight on one connection, whatever the responses are, until the
/// connection ends or `until_ms` (monotonic clock) has passed. Runs on its own thread: call Join() before
/// reading the records.
class BusyClient {
 public:
  BusyClient(int port, int number, std::size_t depth, std::int64_t until_ms, ReadPace pace = {})
      : number_(number), depth_(depth), until_ms_(until_ms), pace_(pace), thread_([this, port] {
          Run(port);
        }) {}

  void Join() { thread_.Join(); }
  /// The time at which the instance ended the connection (monotonic clock, ms); 0 if it did not.
  std::int64_t EndedAt() const { return ended_at_ms_; }
  const std::map<std::string, RequestRecord>& Requests() const { return requests_; }

 private:
  void Run(int port) {
    TcpPeer client = TcpPeer::Connect(port, pace_.receive_buffer_bytes);
    std::string received;
    std::size_t in_flight = 0;
    std::int64_t bytes_received = 0;
    const std::int64_t start_ms = SteadyMs();
    while (SteadyMs() < until_ms_) {
      for (; in_flight < depth_; ++in_flight) Write(client);
      std::array<char, 65536> block;
      const std::int64_t room = ReadAllowance(SteadyMs() - start_ms, bytes_received, block.size());
      if (room == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        continue;
      }
      if (!IsReadyWithin(client.Descriptor(), POLLIN, 20)) continue;
      const ssize_t size = ::recv(client.Descriptor(), block.data(), static_cast<std::size_t>(room), 0);
      if (size <= 0) {
        ended_at_ms_ = SteadyMs();
        return;
      }
      bytes_received += size;
      received.append(block.data(), static_cast<std::size_t>(size));
      while (TakeResponse(received)) --in_flight;
    }
  }

  // How many bytes the pace allows to be read now, at most `max_bytes`.
  std::int64_t ReadAllowance(std::int64_t elapsed_ms, std::int64_t bytes_received,
                             std::size_t max_bytes) const {
    const auto limit = static_cast<std::int64_t>(max_bytes);
    if (pace_.bytes_per_s == 0) return limit;
    return std::clamp<std::int64_t>(elapsed_ms * pace_.bytes_per_s / 1000 - bytes_received, 0, limit);
  }

  void Write(const TcpPeer& client) {
    const std::string tag = std::to_string(requests_.size() + 1);
    std::array<char, 17> reference{};
    std::snprintf(reference.data(), reference.size(), "%08x%08zx", static_cast<unsigned>(number_),
                  requests_.size() + 1);
    const std::string text = EncodeCall(tag, "", kTimeoutMs, reference.data(), reference.data());
    requests_[tag].written_at_ms = SteadyMs();
    ::send(client.Descriptor(), text.data(), text.size(), MSG_NOSIGNAL);
  }

  // Removes one complete response from the front of `received`: four words, each preceded by its length.
  // Returns false if the response is not complete yet.
  bool TakeResponse(std::string& received) {
    std::vector<std::string> words;
    std::size_t position = received.find("\r\n");
    if (position == std::string::npos) return false;
    position += 2;
    while (words.size() < 4) {
      const std::size_t end = received.find("\r\n", position);
      if (end == std::string::npos) return false;
      const std::size_t length = std::stoul(received.substr(position + 1, end - position - 1));
      if (received.size() < end + 2 + length + 2) return false;
      words.push_back(received.substr(end + 2, length));
      position = end + 2 + length + 2;
    }
    received.erase(0, position);
    RequestRecord& record = requests_.at(words[0]);
    CHECK_OR_THROW(record.answered_at_ms == 0);  // at most one final response
    record.answered_at_ms = SteadyMs();
    record.status = words[1];
    return true;
  }

  static constexpr int kTimeoutMs = 2500;

  int number_;
  std::size_t depth_;
  std::int64_t until_ms_;
  ReadPace pace_;
  std::int64_t ended_at_ms_ = 0;
  std::map<std::string, RequestRecord> requests_;
  TestThread thread_;
};

}  // namespace
