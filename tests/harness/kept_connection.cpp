#include "kept_connection.hpp"

#include <chrono>

#include <boost/beast/http.hpp>

namespace plantainslip::harness {

namespace http = boost::beast::http;

KeptConnection::KeptConnection(net::Address aCallers)
  : callers(std::move(aCallers))
{
}

CallerAnswer
KeptConnection::Call(const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aId,
                     bool aIsCompletion)
{
  CallerAnswer answer;
  serving::ErrorCode error;
  if (!this->socket.is_open()) {
    this->buffer.clear();
    const auto host = serving::asio::ip::make_address_v4(this->callers.host);
    this->socket.connect({ host, this->callers.port }, error);
    if (error) {
      this->socket.close(error);
      return answer;
    }
  }
  http::request<http::string_body> request;
  request.method_string(aMethod);
  request.target(aPath);
  request.version(11);
  request.set("Host", "h.example");
  request.set("X-Request-Id", aId);
  request.set("X-Deadline-Ms", "5000");
  if (aIsCompletion) {
    request.set("X-Model-Id", "m");
    request.set("X-Token-Usage", "100,20");
    request.set("X-Prompt-Prefix", "a1:60,b2:40");
    request.body() = "the prompt";
  }
  request.prepare_payload();
  http::write(this->socket, request, error);
  http::response<http::string_body> response;
  if (!error) {
    error = serving::asio::error::timed_out;
    http::async_read(this->socket,
                     this->buffer,
                     response,
                     [&error](const serving::ErrorCode& aError, std::size_t) { error = aError; });
    // Longer than the deadline of a request.
    constexpr std::chrono::seconds kReadTimeout{ 10 };
    this->context.restart();
    this->context.run_for(kReadTimeout);
    serving::ErrorCode ignored;
    this->socket.cancel(ignored);
    this->context.run();
  }
  // A head without a whole body is an answer that was broken off.
  answer.status = error && response.body().empty() ? 0 : static_cast<int>(response.result_int());
  answer.body = response.body();
  answer.complete = !error;
  if (error || !response.keep_alive()) {
    this->socket.close(error);
  }
  return answer;
}

} // namespace plantainslip::harness
