// A TCP proxy on loopback that harms the connections through it.
//
// One thread carries all of its connections. Bytes that a fault holds up are
// kept and go on when it ends, as they would after a cut of a network.
//
// Example:
//   fault_proxy link(7001, 7002);
//   link.set(link_fault::cut_answers);
//   link.set(link_fault::none);
#pragma once

#include <atomic>
#include <chrono>
#include <deque>
#include <list>
#include <string>
#include <thread>

namespace trayrock::testing {

enum class link_fault {
  none,
  slow,          // every byte comes late
  cut_requests,  // nothing reaches the server
  cut_answers,   // nothing comes back
  silence,       // neither way, and new connections are not served
};

class fault_proxy {
 public:
  // Carries connections from one port of loopback to another.
  fault_proxy(int listen_port, int target_port);
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  void set(link_fault fault) { fault_ = fault; }

  // Resets every open connection at both ends.
  void reset_all() { reset_ = true; }

  // From now on the connections that are open carry nothing, without a word;
  // new ones work.
  void mute_open() { mute_ = true; }

 private:
  using clock = std::chrono::steady_clock;

  struct piece {
    clock::time_point due;
    std::string bytes;
  };

  // One way through a connection.
  struct direction {
    int from = -1;
    int to = -1;
    std::deque<piece> waiting;
    bool ended = false;     // `from` will send nothing more
    bool told_end = false;  // and `to` knows it
  };

  struct connection {
    direction requests;
    direction answers;
    bool lost = false;
    bool muted = false;
  };

  void run();
  void accept_one();
  void carry(connection& each);
  static void read_some(direction& way, clock::time_point due, bool& lost);
  static void write_due(direction& way, bool& lost);
  static void close_both(const connection& each, bool reset);
  bool passes(link_fault cut) const;

  int listener_ = -1;
  int target_port_;
  std::atomic<link_fault> fault_ = link_fault::none;
  std::atomic<bool> reset_ = false;
  std::atomic<bool> mute_ = false;
  std::atomic<bool> over_ = false;
  std::list<connection> connections_;
  std::thread thread_;
};

}  // namespace trayrock::testing
