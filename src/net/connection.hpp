// One non-blocking TCP connection with a bounded read buffer and a bounded write queue. It knows no protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/event_loop.hpp"

namespace tinspan::net {

class Connection final : public EventLoop::Sink {
 public:
  class Owner {
   public:
    virtual void OnOpen(Connection&) {}      // an outgoing connection is up
    virtual void OnBytes(Connection&) = 0;   // Unread() has grown
    virtual void OnDrained(Connection&) {}   // the write queue is empty again
    virtual void OnClosed(Connection&) = 0;  // the peer ended it, or it failed; told once, not after Close()
   protected:
    ~Owner() = default;
  };
  struct Limits {
    std::size_t read = 1 << 20;   // bytes held unread; more are left in the socket until some are consumed
    std::size_t write = 8 << 20;  // bytes queued; a Write beyond that fails the connection
    // The peer's end of its side ends all at once, what is unread included: nobody waits for it any more.
    // Otherwise what came before the end is read first.
    bool gone_at_end = false;
  };

  // Takes an accepted socket, or begins to connect. A connect that fails at once is told by OnClosed in the
  // next round, like any other.
  Connection(EventLoop& loop, Fd accepted, Owner& owner, Limits limits);
  Connection(EventLoop& loop, const Endpoint& to, Owner& owner, Limits limits);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Close(); }

  bool IsOpen() const { return state_ == State::kOpen; }
  bool IsClosed() const { return state_ == State::kClosed; }
  // It never came to be, since this process or machine had no descriptor left: no word of the peer.
  bool WasUnmade() const { return unmade_; }
  // What came in and was not consumed. The slice stays valid until the next Consume() or event round.
  std::string_view Unread() const { return std::string_view(buffer_).substr(start_, filled_ - start_); }
  void Consume(std::size_t bytes);
  // The message at hand needs so many bytes in all: the read limit is raised to hold it.
  void Expect(std::size_t bytes) { expected_ = bytes; }
  // While held back nothing is read: the sender feels it. What is already unread stays.
  void HoldReading(bool hold);
  bool IsHeld() const { return held_; }
  // The owner has left some of Unread() for the next round, so that one peer's flood keeps nobody else
  // waiting: OnBytes is called then, whether more came or not.
  void Resume();

  // Sends at once what the socket takes and queues a copy of the rest. False: too much was queued already;
  // the connection is closed. While connecting all is queued.
  bool Write(std::string_view bytes) { return Write(bytes, {}, {}); }
  bool Write(std::string_view head, std::string_view body, std::string_view tail);
  std::uint64_t Queued() const { return queued_; }  // bytes ever handed to Write
  std::uint64_t Sent() const { return sent_; }      // of these, taken by the socket
  std::size_t Backlog() const { return static_cast<std::size_t>(queued_ - sent_); }

  void Close();  // at once, no word to the owner
  void Abort();  // the same, and what the system still holds of it does not go out either
  void EndWithPeer(bool on) { limits_.gone_at_end = on; }  // see Limits
  // Once the queue is empty our side is ended; what still comes is dropped until the peer ends its own. A
  // plain close with bytes unread would reset the connection, and the peer might never see the last answer.
  void CloseWhenDrained();
  bool IsLingering() const { return lingering_ && state_ == State::kOpen; }
  // Whether bytes wait in the socket that no round has read yet.
  bool HasArrived() const;
  Micros LastHeard() const { return heard_; }  // its opening counts
  Micros LastBytes() const { return spoke_; }  // 0: none came yet
  Micros Since() const { return since_; }

  std::uint64_t id = 0;  // the owner's

  void OnReady(std::uint32_t events) override;

 private:
  enum class State { kConnecting, kOpen, kClosed };
  void Register();
  void Read();
  bool Flush();
  void Fail();
  void Linger();

  EventLoop& loop_;
  Owner& owner_;
  Limits limits_;
  Fd fd_;
  State state_;
  EventLoop::Handle handle_ = 0;
  std::string buffer_;  // [start_, filled_) is unread
  std::size_t start_ = 0;
  std::size_t filled_ = 0;
  std::size_t expected_ = 0;
  bool held_ = false;
  bool resume_ = false;
  bool more_ = false;  // the socket may hold more than was read
  bool closing_ = false;
  bool lingering_ = false;
  bool unmade_ = false;
  bool ended_ = false;    // the peer has ended its side, and all before that was read
  bool hung_up_ = false;  // it has, read or not
  std::string queue_;     // [queue_start_, end) waits for the socket
  std::size_t queue_start_ = 0;
  std::uint64_t queued_ = 0;
  std::uint64_t sent_ = 0;
  Micros heard_{0};
  Micros spoke_{0};
  Micros since_{0};
  std::optional<TimerQueue::Id> failing_;  // where the connect could not even begin
};

}  // namespace tinspan::net
