#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// HTTP/1.1 messages as a relay needs them: names and values as they came, bodies decoded from their
// framing.

namespace Trefoil {

struct HttpField
{
    std::string name;
    std::string value;
};

struct HttpHead
{
    std::string method; // of a request
    std::string target;
    std::uint32_t status = 0; // of a response
    std::string reason;
    bool isHttp11 = true;
    std::vector<HttpField> fields;
};

// The value of the first field of that name in any case, or null.
const std::string *findField(const HttpHead &head, std::string_view name);

// True for fields that concern one connection only and are not passed on.
bool isHopByHopField(const HttpHead &head, std::string_view name);

bool equalsIgnoringCase(std::string_view a, std::string_view b);

enum class HttpMessageKind : std::uint8_t { Request, Response };

enum class HttpParseError : std::uint8_t { None, HeaderTooLarge, BodyTooLarge, Malformed };

// Parses one message incrementally.
class HttpParser
{
public:
    HttpParser(HttpMessageKind kind, std::size_t maxHeaderBytes, std::size_t maxBodyBytes);
    ~HttpParser();
    HttpParser(HttpParser &&) noexcept;
    HttpParser &operator=(HttpParser &&) noexcept;

    // Consumes from the start of `input` what belongs to the message. False after an error.
    bool consume(std::string &input);

    // The connection ended in order. Completes a response whose body has no length.
    void finishInput();

    // The response answers a HEAD request and has no body.
    void expectNoBody();

    HttpParseError error() const;
    bool hasStarted() const; // a byte of the message arrived
    bool isHeadDone() const;
    bool isDone() const;
    bool keepsAlive() const;
    const HttpHead &head() const;

    // Body bytes that arrived since the last call.
    std::string takeBody();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// Head of a message with the blank line behind it.
std::string toText(const HttpHead &head);

// One piece of a body in chunks; a piece must not be empty.
std::string toChunk(std::string_view bytes);

std::string_view reasonPhrase(std::uint32_t status);

} // namespace Trefoil
