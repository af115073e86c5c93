#include "broken_responses.h"

#include <cstdio>

namespace trayrock::testing {
namespace {

constexpr const char* sound_status = "HTTP/1.1 200 OK";

std::string length_of(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

std::string response(const std::string& status_line, const std::string& fields,
                     const std::string& body) {
  return status_line + "\r\n" + fields + length_of(body) + "\r\n" + body;
}

std::string chunks_of(const std::string& body) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
  return size + body + "\r\n0\r\n";
}

std::string chunked(const std::string& fields, const std::string& body) {
  return std::string(sound_status) + "\r\n" + fields +
         "Transfer-Encoding: chunked\r\n\r\n" + chunks_of(body);
}

std::string code_of(int byte) {
  char text[8];
  std::snprintf(text, sizeof(text), "0x%02x", static_cast<unsigned>(byte));
  return text;
}

// The text with its control bytes as codes.
std::string printable(const std::string& text) {
  std::string made;
  for (const char each : text) {
    const auto code = static_cast<unsigned char>(each);
    made += code < 0x20 || code == 0x7f ? code_of(code) : std::string(1, each);
  }
  return made;
}

// Lines that are no field, each with its end.
std::vector<broken_response> broken_lines() {
  std::vector<broken_response> made{
      {"a blank within a name", "X Bad: 1\r\n"},
      {"a blank before the colon", "X-Bad : 1\r\n"},
      {"a tab before the colon", "X-Bad\t: 1\r\n"},
      {"a name that is empty", ": 1\r\n"},
      {"a line without a colon", "X-Bad\r\n"},
      {"a line that begins with a blank", " X-Bad: 1\r\n"},
      {"a line that begins with a tab", "\tX-Bad: 1\r\n"},
      {"a continuation line", "X-Bad: 1\r\n continued\r\n"},
      {"a continuation line of a tab", "X-Bad: 1\r\n\t\r\n"},
      {"a line that ends in CR alone", "X-Bad: 1\rX-More: 2\r\n"},
      {"a line that ends in LF alone", "X-Bad: 1\n"}};
  for (const int byte : {0x00, 0x01, 0x08, 0x0b, 0x1b, 0x7f, 0x80, 0xff}) {
    const char bad = static_cast<char>(byte);
    made.push_back({"the byte " + code_of(byte) + " in a name",
                    std::string("X-") + bad + "Bad: 1\r\n"});
  }
  for (const char bad : {'(', ')', ',', '/', ';', '<', '=', '>', '?', '@', '[',
                         '\\', ']', '{', '}', '"'}) {
    made.push_back({std::string("the delimiter ") + bad + " in a name",
                    std::string("X-") + bad + "Bad: 1\r\n"});
  }
  for (const int byte : {0x00, 0x01, 0x08, 0x0b, 0x1b, 0x7f}) {
    made.push_back(
        {"the byte " + code_of(byte) + " in a value",
         std::string("X-Bad: a") + static_cast<char>(byte) + "b\r\n"});
  }
  return made;
}

std::vector<std::string> broken_status_lines() {
  std::vector<std::string> made;
  for (const char* status :
       {"000",  "001",  "020",  "099",   "600",   "601",    "700", "999",
        "1000", "0200", "20",   "2",     "",      "+20",    "-20", "2x0",
        "2 0",  "0x1",  " 200", "\t200", "200\t", "200\x01"}) {
    made.push_back(std::string("HTTP/1.1 ") + status + " OK");
  }
  for (const char* line : {"HTTP/0.0 200 OK",
                           "HTTP/0.9 200 OK",
                           "HTTP/2.0 200 OK",
                           "HTTP/9.9 200 OK",
                           "HTTP/1 200 OK",
                           "HTTP/11.1 200 OK",
                           "HTTP/1.10 200 OK",
                           "HTTP/1.x 200 OK",
                           "HTTP/ 1.1 200 OK",
                           "HTTP 1.1 200 OK",
                           "http/1.1 200 OK",
                           "HTTPS/1.1 200 OK",
                           "HTTP/1.1  200 OK",
                           "HTTP/1.1\t200 OK",
                           "HTTP/1.1 200",
                           "HTTP/1.1 200 O\x01K",
                           "HTTP/1.1 200 O\x7fK",
                           " HTTP/1.1 200 OK",
                           "200 OK",
                           "\r\nHTTP/1.1 200 OK"}) {
    made.emplace_back(line);
  }
  made.push_back(std::string("HTTP/1.1 200 O\0K", 16));
  return made;
}

// Heads whose framing depends on a line that is no field.
std::vector<broken_response> broken_framings(const std::string& fields,
                                             const std::string& body) {
  const std::string head = std::string(sound_status) + "\r\n" + fields;
  return {
      {"a blank before the colon of Content-Length",
       head + "Content-Length : " + std::to_string(body.size()) + "\r\n\r\n" +
           body},
      {"a blank before the colon of Transfer-Encoding",
       head + "Transfer-Encoding : chunked\r\n\r\n" + chunks_of(body) + "\r\n"},
      {"Transfer-Encoding on a continuation line",
       head + "Transfer-Encoding:\r\n chunked\r\n\r\n" + chunks_of(body) +
           "\r\n"},
      {"a line that begins with a blank, right behind the status line",
       std::string(sound_status) + "\r\n X-Bad: 1\r\n" + fields +
           length_of(body) + "\r\n" + body},
      {"a status line without a body and a length",
       "HTTP/1.1 000 OK\r\n" + fields + "\r\n"},
      {"status 000 in chunks", "HTTP/1.1 000 OK\r\n" + fields +
                                   "Transfer-Encoding: chunked\r\n\r\n" +
                                   chunks_of(body) + "\r\n"},
      {"status 600 in chunks", "HTTP/1.1 600 OK\r\n" + fields +
                                   "Transfer-Encoding: chunked\r\n\r\n" +
                                   chunks_of(body) + "\r\n"}};
}

}  // namespace

std::string sound_response(const std::string& fields, const std::string& body) {
  return response(sound_status, fields, body);
}

std::vector<std::string> unusual_responses(const std::string& fields,
                                           const std::string& body) {
  const std::string sound = sound_response(fields, body);
  return {
      "HTTP/1.1 100 Continue\r\n\r\n" + sound,
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + sound,
      "HTTP/1.1 199 \r\n\r\n" + sound,
      chunked(fields, body) + "\r\n",
      chunked(fields, body) + "X-Sum: 1\r\nX-Other:\r\n\r\n",
      response("HTTP/1.0 200 OK", fields, body),
      response("HTTP/1.1 200 ", fields, body),
      response("HTTP/1.1 200 \t d\xc3\xa9j\xc3\xa0 ", fields, body),
      sound_response(fields + "!#$%&'*+-.^_`|~09azAZ: 1\r\n", body),
      sound_response(fields + "X-Empty:\r\nX-Blank: \t \r\n", body),
      sound_response(fields + "X-Text:\t\"\xe9 \x80:\xff\t{}\" \r\n", body)};
}

std::vector<broken_response> broken_responses(const std::string& fields,
                                              const std::string& body) {
  std::vector<broken_response> made = broken_framings(fields, body);
  const std::string sound = sound_response(fields, body);
  for (const std::string& line : broken_status_lines()) {
    made.push_back({"the status line '" + printable(line) + "'",
                    response(line, fields, body)});
  }
  for (const broken_response& line : broken_lines()) {
    made.push_back({line.what, sound_response(fields + line.bytes, body)});
    made.push_back(
        {line.what + ", in an interim response",
         "HTTP/1.1 103 Early Hints\r\n" + line.bytes + "\r\n" + sound});
  }
  made.push_back({"an interim response with the status 099",
                  "HTTP/1.1 099 Early Hints\r\n\r\n" + sound});
  return made;
}

std::vector<broken_response> broken_trailers(const std::string& fields,
                                             const std::string& body) {
  std::vector<broken_response> made;
  for (const broken_response& line : broken_lines()) {
    made.push_back({line.what + ", in a trailer",
                    chunked(fields, body) + line.bytes + "\r\n"});
  }
  return made;
}

}  // namespace trayrock::testing
