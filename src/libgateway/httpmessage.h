#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// HTTP/1.1 messages for a relay. Field names and values are kept unchanged; the framing of bodies,
// such as chunk sizes, is removed.

namespace Trefoil {

struct HttpField
{
    std::string name;
    std::string value;
};

struct HttpHead
{
    // Set in requests.
    std::string method;
    std::string target;

    // Set in responses.
    std::uint32_t status = 0;
    std::string reason;

    bool isHttp11 = true;
    std::vector<HttpField> fields;
};

// Returns the value of the first field with this name, or null. Ignores case.
const std::string *findField(const HttpHead &head, std::string_view name);

struct LessIgnoringCase
{
    bool operator()(std::string_view a, std::string_view b) const;
};

// Names of the fields of a head that apply to one connection only and are not forwarded.
class HopByHopFields
{
public:
    explicit HopByHopFields(const HttpHead &head);

    bool contains(std::string_view name) const;

private:
    std::set<std::string, LessIgnoringCase> names_;
};

bool equalsIgnoringCase(std::string_view a, std::string_view b);

enum class HttpMessageKind : std::uint8_t { Request, Response };

enum class HttpParseError : std::uint8_t { None, HeaderTooLarge, BodyTooLarge, Malformed };

// Returns the memory that a head takes.
std::size_t memoryUse(const HttpHead &head);

// Parses one message incrementally. Chunk headers with their extensions, and trailers, each have
// the limit of the head.
class HttpParser
{
public:
    HttpParser(HttpMessageKind kind, std::size_t maxHeaderBytes, std::size_t maxBodyBytes);
    ~HttpParser();
    HttpParser(HttpParser &&) noexcept;
    HttpParser &operator=(HttpParser &&) noexcept;

    // Consumes the part of `input` that belongs to the message. Returns false after an error.
    bool consume(std::string &input);

    // Completes a response whose body is delimited by the end of the connection. Called when the
    // peer has closed the connection without an error.
    void finishInput();

    // Makes the parser expect no body, as in the response to a HEAD request.
    void expectNoBody();

    HttpParseError error() const;

    // True once a byte of the message has arrived.
    bool hasStarted() const;

    bool isHeadDone() const;
    bool isDone() const;

    // True if the body has neither a length nor chunks, so that the end of the connection ends it.
    bool endsWithConnection() const;

    bool keepsAlive() const;
    const HttpHead &head() const;

    // Returns the body bytes that arrived since the last call.
    std::string takeBody();

    // Returns the head and leaves an empty one.
    HttpHead takeHead();

    // Returns the number of body bytes that the head announces, 0 without a length.
    std::uint64_t announcedBodyBytes() const;

    // Returns the number of body bytes that were not taken.
    std::size_t untakenBodyBytes() const;

    // Returns the memory of the head and the body that were not taken, with the spare capacity.
    std::size_t memoryUse() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// Returns the head of a message including the blank line.
std::string toText(const HttpHead &head);

// Encodes one chunk of a chunked body. `bytes` must not be empty.
std::string toChunk(std::string_view bytes);

// Returns the standard reason phrase of a status.
std::string_view reasonPhrase(std::uint32_t status);

} // namespace Trefoil
