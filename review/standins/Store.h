// The platform's store: items with revisions over HTTP/1.1, and watches that wait for an event.
#pragma once

#include "Loop.h"
#include "Sockets.h"

#include <deque>
#include <list>
#include <map>
#include <memory>

namespace review {

class Store
{
public:
  Store(Loop& aLoop, const SocketAddress& aListen);

  /// Writes an item. The write is acknowledged when the call returns.
  void put(const std::string& aKey, const std::string& aValue);
  void remove(const std::string& aKey);

private:
  struct Connection
  {
    int m_descriptor{ -1 };
    std::string m_input;
    bool m_isClosed{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  /// One write: an item as it was written, or a tombstone.
  struct Event
  {
    std::string m_key;
    std::string m_value;
    uint64_t m_revision{};
    bool m_isRemoval{};
    int64_t m_at{};
  };

  struct Watch
  {
    ConnectionPtr m_connection;
    std::string m_prefix;
    uint64_t m_after{};
    int64_t m_dueAt{};
  };

  void accept();
  void onReadable(const ConnectionPtr& aConnection);
  void onRequest(const ConnectionPtr& aConnection, const std::string& aTarget);
  void onRange(const ConnectionPtr& aConnection, const std::string& aTarget);
  /// Answers a watch if it has events or is due. Returns whether it was answered.
  bool answerWatch(const Watch& aWatch);
  void answerWatches();
  void tick();
  /// Writes an event to the history and the items.
  void write(Event aEvent);
  static void close(Loop& aLoop, Connection& aConnection);
  /// Sends a response after the usual time of an answer.
  void respond(const ConnectionPtr& aConnection, int aStatus, const std::string& aBody);

  Loop& m_loop;
  int m_listener;
  std::map<std::string, Event> m_items;
  /// The history.
  std::deque<Event> m_events;
  /// Events up to this revision are no longer in the history.
  uint64_t m_forgotten{};
  std::list<Watch> m_watches;
  uint64_t m_revision{ 100 };
};

} // namespace review
