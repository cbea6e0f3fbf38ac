// Stand-ins for the servers of a gateway, on threads of the test: an HTTP/1.1 server whose responses a
// function gives, and Consul's health and catalog endpoints with blocking queries, after its public HTTP API.
#pragma once

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "harness.hpp"

/// An HTTP/1.1 server with a thread for each connection.
class HttpStandIn {
 public:
  /// Answers one request, on the connection's thread; "" ends the connection without an answer.
  using Handler = std::function<std::string(const std::string& head, const std::string& body)>;
  explicit HttpStandIn(Handler handler) : handler_(std::move(handler)), thread_([this] { Accept(); }) {}
  ~HttpStandIn() { End(); }
  /// Ends all connections and joins their threads; does nothing the second time.
  void End() {
    if (ended_.exchange(true)) return;
    ::shutdown(server_.Descriptor(), SHUT_RDWR);
    thread_.Join();
    {
      const std::lock_guard held(lock_);
      for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (TestThread& one : threads_) one.Join();
  }
  int Port() const { return server_.port; }
  std::string Address() const { return server_.Address(); }
  bool Ended() const { return ended_; }

  /// A response with that status line, `fields` (each with CRLF) and a Content-Length.
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
      const std::lock_guard held(lock_);
      open_.push_back(fd);
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
  }
  void Serve(int fd) {
    std::string in;
    char block[16384];
    while (true) {
      const std::size_t end = in.find("\r\n\r\n");
      if (end != std::string::npos) {
        const std::string head = in.substr(0, end + 2);
        const std::size_t at = head.find("Content-Length: ");
        const std::size_t length = at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
        if (in.size() >= end + 4 + length) {
          const std::string body = in.substr(end + 4, length);
          in.erase(0, end + 4 + length);
          const std::string out = handler_(head, body);
          if (out.empty() ||
              ::send(fd, out.data(), out.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(out.size()))
            break;
          continue;
        }
      }
      const ssize_t n = ::recv(fd, block, sizeof block, 0);
      if (n <= 0) break;
      in.append(block, static_cast<std::size_t>(n));
    }
    const std::lock_guard held(lock_);
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

/// Consul's /v1/health/service and /v1/catalog/service for services that the test sets.
class ConsulStandIn {
 public:
  ConsulStandIn() : http_([this](const std::string& head, const std::string&) { return Answer(head); }) {}
  ~ConsulStandIn() {
    {
      const std::lock_guard held(lock_);
      over_ = true;
      changed_.notify_all();
    }
    http_.End();
  }
  struct Node {
    int port = 0;
    std::string status = "passing";
    std::string check = "service:c";
  };
  void Set(const std::string& service, const std::string& node, Node state) {
    const std::lock_guard held(lock_);
    services_[service].nodes[node] = std::move(state);
    ++services_[service].index;
    changed_.notify_all();
  }
  void Remove(const std::string& service, const std::string& node) {
    const std::lock_guard held(lock_);
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
  std::string Answer(const std::string& head) {
    const std::size_t at = head.find("/v1/");
    const std::string path = head.substr(at, head.find(' ', at) - at);
    const bool health = path.starts_with("/v1/health/service/");
    std::string name = path.substr(path.find("/service/") + 9);
    std::uint64_t index = 0;
    const std::size_t mark = name.find("?index=");
    if (mark != std::string::npos) index = std::stoull(name.substr(mark + 7));
    name = name.substr(0, name.find('?'));
    std::unique_lock held(lock_);
    if (health) {
      changed_.wait_for(held, std::chrono::seconds(20),
                        [&] { return over_ || services_[name].index > index; });
    }
    const Service& service = services_[name];
    std::string body = "[";
    for (const auto& [node, state] : service.nodes) {
      if (body.size() > 1) body += ",";
      body += health
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
  bool over_ = false;
  std::map<std::string, Service> services_;
  HttpStandIn http_;
};
