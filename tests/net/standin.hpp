// Stand-ins for the servers of a gateway, on threads of the test: an HTTP/1.1 server with a handler function,
// and Consul's health and catalog endpoints with blocking queries, as described in Consul's public HTTP API.
#pragma once

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "harness.hpp"

/// An HTTP/1.1 server with one thread per connection.
class HttpStandIn {
 public:
  /// Returns the response to one request; runs on the connection's thread. An empty string closes the
  /// connection without a response.
  using Handler = std::function<std::string(const std::string& head, const std::string& body)>;
  explicit HttpStandIn(Handler handler) : handler_(std::move(handler)), thread_([this] { Accept(); }) {}
  ~HttpStandIn() { End(); }
  /// Ends all connections and joins their threads. Further calls do nothing.
  void End() {
    if (ended_.exchange(true)) return;
    ::shutdown(server_.Descriptor(), SHUT_RDWR);
    thread_.Join();
    {
      const std::lock_guard lock(lock_);
      for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (TestThread& thread : threads_) thread.Join();
  }
  int Port() const { return server_.port; }
  std::string Address() const { return server_.Address(); }
  bool Ended() const { return ended_; }

  /// A response with `status` (code and reason), the header `fields` (each ending in CRLF) and a
  /// Content-Length.
  static std::string Reply(const std::string& status, const std::string& body,
                           const std::string& fields = "") {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

 private:
  void Accept() {
    while (true) {
      const int fd = ::accept(server_.Descriptor(), nullptr, nullptr);
      if (fd < 0) return;
      const std::lock_guard lock(lock_);
      open_.push_back(fd);
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
  }
  void Serve(int fd) {
    std::string received;
    char block[16384];
    while (true) {
      const std::size_t end = received.find("\r\n\r\n");
      if (end != std::string::npos) {
        const std::string head = received.substr(0, end + 2);
        const std::size_t length_position = head.find("Content-Length: ");
        const std::size_t length =
            length_position == std::string::npos ? 0 : std::stoul(head.substr(length_position + 16));
        if (received.size() >= end + 4 + length) {
          const std::string body = received.substr(end + 4, length);
          received.erase(0, end + 4 + length);
          const std::string response = handler_(head, body);
          if (response.empty() || ::send(fd, response.data(), response.size(), MSG_NOSIGNAL) !=
                                      static_cast<ssize_t>(response.size()))
            break;
          continue;
        }
      }
      const ssize_t size = ::recv(fd, block, sizeof block, 0);
      if (size <= 0) break;
      received.append(block, static_cast<std::size_t>(size));
    }
    const std::lock_guard lock(lock_);
    open_.remove(fd);
    ::close(fd);
  }
  Handler handler_;
  TcpListener server_;
  std::mutex lock_;
  std::list<int> open_;
  std::list<TestThread> threads_;
  std::atomic<bool> ended_ = false;
  TestThread thread_;
};

/// Consul's /v1/health/service and /v1/catalog/service for the services that the test sets. Thread-safe.
class ConsulStandIn {
 public:
  ConsulStandIn() : http_([this](const std::string& head, const std::string&) { return Respond(head); }) {}
  ~ConsulStandIn() {
    {
      const std::lock_guard lock(lock_);
      is_stopping_ = true;
      changed_.notify_all();
    }
    http_.End();
  }
  struct Node {
    int port = 0;
    std::string status = "passing";
    std::string check = "service:c";
  };
  /// Adds or replaces a node and wakes the blocking queries of the service.
  void Set(const std::string& service, const std::string& node, Node state) {
    const std::lock_guard lock(lock_);
    services_[service].nodes[node] = std::move(state);
    ++services_[service].index;
    changed_.notify_all();
  }
  void Remove(const std::string& service, const std::string& node) {
    const std::lock_guard lock(lock_);
    services_[service].nodes.erase(node);
    ++services_[service].index;
    changed_.notify_all();
  }
  std::string Address() const { return http_.Address(); }

 private:
  struct Service {
    std::uint64_t index = 1;
    std::map<std::string, Node> nodes;
  };
  std::string Respond(const std::string& head) {
    const std::size_t start = head.find("/v1/");
    const std::string path = head.substr(start, head.find(' ', start) - start);
    const bool is_health_query = path.starts_with("/v1/health/service/");
    std::string name = path.substr(path.find("/service/") + 9);
    std::uint64_t index = 0;
    const std::size_t index_position = name.find("?index=");
    if (index_position != std::string::npos) index = std::stoull(name.substr(index_position + 7));
    name = name.substr(0, name.find('?'));
    std::unique_lock lock(lock_);
    if (is_health_query) {
      changed_.wait_for(lock, std::chrono::seconds(20),
                        [&] { return is_stopping_ || services_[name].index > index; });
    }
    const Service& service = services_[name];
    std::string body = "[";
    for (const auto& [node, state] : service.nodes) {
      if (body.size() > 1) body += ",";
      body += is_health_query
                  ? R"({"Node":{"Node":")" + node + R"("},"Service":{"ID":"c"},"Checks":[{"CheckID":")" +
                        state.check + R"(","Status":")" + state.status + R"("}]})"
                  : R"({"Node":")" + node +
                        R"(","Address":"127.0.0.1","ServiceID":"c","ServiceAddress":"","ServicePort":)" +
                        std::to_string(state.port) + R"(,"ServiceMeta":{},"ServiceWeights":{"Passing":1}})";
    }
    return HttpStandIn::Reply("200 OK", body + "]",
                              "X-Consul-Index: " + std::to_string(service.index) + "\r\n");
  }
  std::mutex lock_;
  std::condition_variable changed_;
  bool is_stopping_ = false;
  std::map<std::string, Service> services_;
  HttpStandIn http_;
};
