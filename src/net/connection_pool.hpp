// Connections to servers, kept by the server's number and used again. It knows no protocol: what stands for
// an exchange on a connection is the user's `State`.
#pragma once

#include <algorithm>
#include <list>
#include <unordered_map>

#include "net/connection.hpp"

namespace tinspan::net {

struct PoolRules {
  Micros connect_timeout{400'000};
  Micros idle_close{30'000'000};
  // A connection not heard on for so long is not trusted with anything new: a machine that has vanished
  // leaves it open and silent, while a new one proves within the connect timeout that nothing ran.
  Micros trust{2'000'000};
  std::size_t exchanges = 100;  // at once on one connection
  // So many go on one connection before another is opened: what breaks or stalls takes few along.
  std::size_t spread = 100;
  // One that owes something and has been silent for so long, while the server spoke on another, gets nothing
  // new where there is another way.
  Micros doubt{150'000};
  std::size_t most = 0;  // connections to all servers before those are filled that there are; 0: no bound
  Connection::Limits limits;
};

template <class State>
class Pool {
 public:
  class Link;
  class User {
   public:
    virtual void OnLinkOpen(Link&) = 0;
    virtual void OnLinkBytes(Link&) = 0;
    virtual void OnLinkDrained(Link&) {}
    virtual void OnLinkLost(Link&) = 0;  // failed, timed out or ended by the peer; told once

   protected:
    ~User() = default;
  };

  class Link final : public Connection::Owner {
   public:
    Link(Pool& pool, std::uint64_t server, const Endpoint& to)
        : server(server), to(to), connection(pool.loop_, to, *this, pool.rules_.limits), pool_(pool) {}
    const std::uint64_t server;
    const Endpoint to;
    State state;
    std::size_t open = 0;  // exchanges under way, counted by Take and Release
    bool retired = false;  // nothing new; closed with its last exchange
    Micros used{0};
    Micros asked{0};  // since when something has been owed on it
    Connection connection;

    // Since when it owes something and says nothing; 0: it does not.
    Micros SilentSince() const {
      if (open == 0 || !connection.IsOpen() || connection.IsHeld()) return Micros{0};
      return std::max(asked, connection.LastHeard());
    }

   private:
    friend class Pool;
    void OnOpen(Connection&) override {
      pool_.loop_.Timers().Cancel(timeout_);
      pool_.user_.OnLinkOpen(*this);
    }
    void OnBytes(Connection&) override { pool_.user_.OnLinkBytes(*this); }
    void OnDrained(Connection&) override { pool_.user_.OnLinkDrained(*this); }
    void OnClosed(Connection&) override {
      pool_.loop_.Timers().Cancel(timeout_);
      retired = true;
      pool_.user_.OnLinkLost(*this);
    }
    Pool& pool_;
    TimerQueue::Id timeout_{};
  };

  Pool(EventLoop& loop, PoolRules rules, User& user) : loop_(loop), rules_(rules), user_(user) {}
  ~Pool() {
    for (Link& link : links_) loop_.Timers().Cancel(link.timeout_);
  }

  // A link for one more exchange; `fits` may pass over some. Give it back with Release.
  template <class Fits>
  Link& Take(std::uint64_t server, const Endpoint& to, Micros now, Fits&& fits) {
    Micros heard{0};  // on any connection to it; that one opens is no word of its server
    for (const Link* const link : by_server_[server]) {
      heard = std::max(heard, link->connection.LastBytes());
    }
    Link* spare = nullptr;
    for (Link* const link : by_server_[server]) {
      if (link->retired || link->open >= rules_.exchanges) continue;
      const bool stale = link->connection.IsOpen() && now - link->connection.LastHeard() > rules_.trust;
      if (stale || !(link->to == to)) {
        Retire(*link);
      } else if (fits(*link)) {
        const Micros silent = link->SilentSince();
        const bool doubtful = silent > Micros{0} && now - silent > rules_.doubt && heard > silent;
        if (link->open < rules_.spread && !doubtful) return Use(*link, now);
        if (spare == nullptr || link->open < spare->open) spare = link;
      }
    }
    if (rules_.most > 0 && links_.size() >= rules_.most) {
      if (spare != nullptr) return Use(*spare, now);
      RetireIdle();
    }
    Link& link = links_.emplace_back(*this, server, to);
    by_server_[server].push_back(&link);
    Use(link, now);
    link.timeout_ = loop_.Timers().Set(now + rules_.connect_timeout, [this, &link](Micros) {
      link.connection.Close();
      link.retired = true;
      user_.OnLinkLost(link);
    });
    return link;
  }
  void Release(Link& link, Micros now) {
    if (link.open > 0) --link.open;
    link.used = now;
  }
  void Retire(Link& link) { link.retired = true; }
  void RetireServer(std::uint64_t server) {
    const auto found = by_server_.find(server);
    if (found == by_server_.end()) return;
    for (Link* const link : found->second) Retire(*link);
  }
  // Closes idle and retired links; what is closed is freed here and nowhere else, so that a link stays valid
  // for a whole round. Call once a round.
  void Sweep(Micros now) {
    for (auto link = links_.begin(); link != links_.end();) {
      const bool idle = link->open == 0 && (link->retired || now - link->used > rules_.idle_close);
      if (!idle && !(link->connection.IsClosed() && link->open == 0)) {
        ++link;
        continue;
      }
      loop_.Timers().Cancel(link->timeout_);
      auto& siblings = by_server_[link->server];
      siblings.erase(std::find(siblings.begin(), siblings.end(), &*link));
      if (siblings.empty()) by_server_.erase(link->server);
      link = links_.erase(link);
    }
  }
  std::list<Link>& Links() { return links_; }

 private:
  static Link& Use(Link& link, Micros now) {
    if (link.open++ == 0) link.asked = now;
    link.used = now;
    return link;
  }
  // Makes room for another connection by the one that has been idle longest.
  void RetireIdle() {
    Link* oldest = nullptr;
    for (Link& link : links_) {
      if (link.open > 0 || link.retired) continue;
      if (oldest == nullptr || link.used < oldest->used) oldest = &link;
    }
    if (oldest == nullptr) return;
    oldest->connection.Close();
    Retire(*oldest);
  }

  EventLoop& loop_;
  PoolRules rules_;
  User& user_;
  std::list<Link> links_;
  std::unordered_map<std::uint64_t, std::vector<Link*>> by_server_;
};

}  // namespace tinspan::net
