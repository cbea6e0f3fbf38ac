// One non-blocking TCP connection with a bounded read buffer and a bounded write queue. It knows no protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/endpoint.hpp"
#include "net/event_loop.hpp"

namespace tinspan::net {

/// A TCP connection of one event loop. Its owner is notified of what happens to it and must outlive it. Not
/// thread-safe.
class Connection final : public EventLoop::Sink {
 public:
  /// Who is notified of a connection.
  class Owner {
   public:
    /// An outgoing connection is up.
    virtual void OnOpen(Connection&) {}
    /// Unread() has grown, or ScheduleRead() asked for the call.
    virtual void OnData(Connection&) = 0;
    /// The write queue is empty again.
    virtual void OnDrained(Connection&) {}
    /// The peer ended the connection, or it failed. Called once, and not after Close().
    virtual void OnClosed(Connection&) = 0;

   protected:
    ~Owner() = default;
  };
  struct Limits {
    /// Bytes that are held unread; more are left in the socket until some are consumed.
    std::size_t max_read_bytes = 1 << 20;
    /// Bytes queued for the socket; a Write beyond that closes the connection.
    std::size_t max_write_bytes = 8 << 20;
    /// When the peer shuts its side down the connection ends at once, unread bytes included: nobody waits for
    /// a response any more. Otherwise what came before the end is read first.
    bool close_on_peer_shutdown = false;
  };

  /// Takes over an accepted socket.
  Connection(EventLoop& loop, Fd accepted, Owner& owner, Limits limits);
  /// Begins to connect. A connect that fails at once is notified by OnClosed in the next round, like any
  /// other.
  Connection(EventLoop& loop, const Endpoint& peer, Owner& owner, Limits limits);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Close(); }

  bool IsOpen() const { return state_ == State::kOpen; }
  bool IsClosed() const { return state_ == State::kClosed; }
  /// It never came to be, since this process or machine was short of something: no sign of the peer.
  bool FailedLocally() const { return failed_locally_; }

  /// What came in and was not consumed. The slice stays valid until the next Consume() or event round.
  std::string_view Unread() const { return std::string_view{buffer_}.substr(start_, filled_ - start_); }
  /// Drops `bytes` at the front of Unread().
  void Consume(std::size_t bytes);
  /// The message at the front of Unread() takes `bytes` in all: the read limit is raised to hold it.
  void ExpectMessage(std::size_t bytes) { expected_ = bytes; }
  /// While paused nothing is read, and the sender meets TCP's flow control. What is already unread stays.
  void SetReadPaused(bool paused);
  bool IsReadPaused() const { return read_paused_; }
  /// The owner has left some of Unread() for the next round, so that one peer's flood delays nobody else:
  /// OnData is called then, whether more came or not.
  void ScheduleRead();

  /// Sends at once what the socket takes and queues a copy of the rest; while connecting all is queued.
  /// False: too much was queued already, and the connection is closed.
  bool Write(std::string_view bytes) { return Write(bytes, {}, {}); }
  bool Write(std::string_view head, std::string_view body, std::string_view tail);
  /// Bytes ever handed to Write.
  std::uint64_t BytesQueued() const { return bytes_queued_; }
  /// Of these, those that the socket has taken.
  std::uint64_t BytesSent() const { return bytes_sent_; }
  /// Bytes that wait for the socket.
  std::size_t Backlog() const { return static_cast<std::size_t>(bytes_queued_ - bytes_sent_); }

  /// Closes at once, without a call to the owner.
  void Close();
  /// The same, and what the system still holds of the connection does not go out either (RST).
  void Abort();
  /// See Limits::close_on_peer_shutdown.
  void SetCloseOnPeerShutdown(bool enabled) { limits_.close_on_peer_shutdown = enabled; }
  /// Shuts our side down once the queue is empty; what still comes is dropped until the peer ends its own
  /// side. A plain close with bytes unread would reset the connection, and the peer might never see the last
  /// response.
  void ShutdownWhenDrained();
  bool IsLingering() const { return lingering_ && state_ == State::kOpen; }
  /// Whether bytes wait in the socket that no round has read yet.
  bool HasPendingInput() const;

  /// When bytes last came or the connection opened.
  Micros LastActivityAt() const { return last_activity_at_; }
  /// When bytes last came; 0: never.
  Micros LastReceivedAt() const { return last_received_at_; }
  /// When it was accepted, or began to connect.
  Micros OpenedAt() const { return opened_at_; }

  /// The owner's own number of the connection.
  std::uint64_t id = 0;

  void OnReady(std::uint32_t events) override;

 private:
  enum class State { kConnecting, kOpen, kClosed };
  enum class ReadResult { kOk, kFailed };

  void StartConnect();
  void FailConnect(int error);
  bool Register();
  void RetryLater(int error);
  void OnLocalSuccess() { local_failures_ = 0; }
  bool FinishConnecting(std::uint32_t events);
  void Read();
  ReadResult ReceiveRound();
  ReadResult HandleReceiveError(int error);
  bool MakeReadSpace();
  std::size_t ReadLimit() const;
  bool CanRead() const { return more_in_socket_ && !read_paused_ && !closing_; }
  std::size_t SendNow(std::string_view head, std::string_view body, std::string_view tail);
  bool Flush();
  bool SendQueue();
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
  bool read_paused_ = false;
  bool read_scheduled_ = false;
  bool more_in_socket_ = false;  // the socket may hold more than was read

  bool closing_ = false;
  bool lingering_ = false;
  bool failed_locally_ = false;
  bool peer_ended_ = false;    // the peer has shut its side down, and all before that was read
  bool peer_hung_up_ = false;  // it has, read or not

  std::string queue_;  // [queue_start_, end) waits for the socket
  std::size_t queue_start_ = 0;
  std::uint64_t bytes_queued_ = 0;
  std::uint64_t bytes_sent_ = 0;

  Micros last_activity_at_{0};
  Micros last_received_at_{0};
  Micros opened_at_{0};
  Endpoint peer_{};                            // of an outgoing connection
  int local_failures_ = 0;                     // calls in a row that this machine could not serve
  std::optional<TimerQueue::Id> retry_timer_;  // for what failed so, or to be notified of a failure
};

}  // namespace tinspan::net
