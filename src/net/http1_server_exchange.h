// The handle on which a handler of an http1_server answers one request.
//
// Writes the answer's head and frames its body. It holds its connection
// weakly: once the client has gone, or the answer has ended, calls do nothing.
//
// Example:
//   auto made = std::make_shared<http1_server_exchange>(connection, id);
//   made->respond(200, {}, "hello");
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "http1_server_connection.h"
#include "trayrock/internal/net/http1_server.h"

namespace trayrock::internal {

// How the end of a response's body is marked.
enum class response_framing {
  none,  // there is no body: the response ends with its head
  chunks,
  connection,  // at the end of the connection
};

class http1_server_exchange final : public http1_exchange {
 public:
  http1_server_exchange(std::weak_ptr<http1_server_connection> connection,
                        std::uint64_t connection_id)
      : connection_(std::move(connection)), connection_id_(connection_id) {}

  void respond(int status, const header_list& headers,
               std::string_view body) override;
  void begin(int status, const header_list& headers) override;
  void write(std::string_view bytes) override;
  void finish() override;
  void abort() override;
  void discard() override;
  void on_gone(std::function<void()> callback) override {
    gone_ = std::move(callback);
  }
  bool begun() const override { return begun_; }
  std::uint64_t connection_id() const override { return connection_id_; }

  // The client has gone.
  void lose();

 private:
  // nullptr once the answer has ended or the client has gone.
  std::shared_ptr<http1_server_connection> connection() const {
    return connection_.lock();
  }
  void end(http1_server_connection& connection);

  std::weak_ptr<http1_server_connection> connection_;
  std::uint64_t connection_id_;
  std::function<void()> gone_;
  bool begun_ = false;
  response_framing framing_ = response_framing::none;
};

}  // namespace trayrock::internal
