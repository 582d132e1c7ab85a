// A TCP proxy on loopback that harms what passes: it delays, resets, cuts one way or goes silent.
#pragma once

#include <asio.hpp>

#include <array>
#include <list>
#include <memory>

namespace soak {

enum class Harm : uint8_t
{
  None,
  /// Bytes arrive 150 ms late, as from a slow store.
  Delay,
  /// Connections are closed at once.
  Reset,
  /// Requests arrive, answers do not.
  OneWay,
  /// Nothing arrives; connections stay open.
  Silent,
};

class Proxy
{
public:
  Proxy(asio::io_context& aIo,
        const asio::ip::tcp::endpoint& aListen,
        asio::ip::tcp::endpoint aTarget)
    : m_io(aIo)
    , m_acceptor(aIo, aListen)
    , m_target(std::move(aTarget))
  {
    accept();
  }

  void harm(Harm aHarm)
  {
    m_harm = aHarm;
    if (aHarm == Harm::Reset) {
      for (const auto& weak : m_links) {
        if (const auto link = weak.lock()) {
          link->close();
        }
      }
      m_links.clear();
    }
  }

private:
  struct Link
  {
    explicit Link(asio::io_context& aIo, asio::ip::tcp::socket aNear)
      : m_near(std::move(aNear))
      , m_far(aIo)
    {
    }
    void close()
    {
      asio::error_code ignored;
      m_near.close(ignored);
      m_far.close(ignored);
    }
    asio::ip::tcp::socket m_near;
    asio::ip::tcp::socket m_far;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void accept()
  {
    m_acceptor.async_accept([this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError) {
        return;
      }
      if (m_harm != Harm::Reset) {
        const auto link = std::make_shared<Link>(m_io, std::move(aSocket));
        std::erase_if(m_links, [](const auto& aWeak) { return aWeak.expired(); });
        m_links.push_back(link);
        link->m_far.async_connect(m_target, [this, link](const asio::error_code& aFailure) {
          if (aFailure) {
            link->close();
            return;
          }
          pump(link, link->m_near, link->m_far, false);
          pump(link, link->m_far, link->m_near, true);
        });
      }
      accept();
    });
  }

  void pump(const LinkPtr& aLink,
            asio::ip::tcp::socket& aFrom,
            asio::ip::tcp::socket& aTo,
            bool aIsAnswer)
  {
    const auto bytes = std::make_shared<std::array<char, 16384>>();
    aFrom.async_read_some(
      asio::buffer(*bytes),
      [this, aLink, bytes, &aFrom, &aTo, aIsAnswer](const asio::error_code& aError, size_t aCount) {
        if (aError) {
          aLink->close();
          return;
        }
        const bool isLost = m_harm == Harm::Silent || (m_harm == Harm::OneWay && aIsAnswer);
        if (isLost) {
          pump(aLink, aFrom, aTo, aIsAnswer);
          return;
        }
        const auto delay = std::make_shared<asio::steady_timer>(m_io);
        delay->expires_after(std::chrono::milliseconds(m_harm == Harm::Delay ? 150 : 0));
        delay->async_wait(
          [this, aLink, bytes, aCount, delay, &aFrom, &aTo, aIsAnswer](const asio::error_code&) {
            asio::async_write(aTo,
                              asio::buffer(bytes->data(), aCount),
                              [this, aLink, bytes, &aFrom, &aTo, aIsAnswer](
                                const asio::error_code& aFailure, size_t) {
                                if (aFailure) {
                                  aLink->close();
                                  return;
                                }
                                pump(aLink, aFrom, aTo, aIsAnswer);
                              });
          });
      });
  }

  asio::io_context& m_io;
  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::endpoint m_target;
  std::list<std::weak_ptr<Link>> m_links;
  Harm m_harm{ Harm::None };
};

} // namespace soak
