#include "libgateway/httpmessage.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <variant>

namespace Trefoil {

namespace http = boost::beast::http;
namespace beast = boost::beast;

namespace {

constexpr std::string_view HopByHopNames[] = {
        "connection", "keep-alive", "proxy-connection",  "te",
        "trailer",    "upgrade",    "transfer-encoding", "content-length",
};

// Lower numbers are no statuses.
constexpr int MinStatus = 100;

// The memory of a body grows by this part of its size at least.
constexpr std::size_t BodyGrowthDivisor = 4;

// Returns the memory that the allocator gives a text for its characters.
std::size_t heapBytes(const std::string &text)
{
    constexpr std::size_t allocationBytes = 16;
    static const std::size_t inlineCapacity = std::string().capacity();
    return text.capacity() <= inlineCapacity ? 0 : text.capacity() + allocationBytes;
}

// Collects the parts of a message that the Beast parser reports.
template <bool IsRequest>
class MessageCollector : public http::basic_parser<IsRequest>
{
public:
    HttpHead message;
    std::string bodyBytes;

    // Memory that the texts of the fields take beside the fields.
    std::size_t fieldBytes = 0;

private:
    using Text = beast::string_view;
    using Error = beast::error_code;

    void on_request_impl(http::verb /*verb*/, Text method, Text target, int version,
                         Error &error) override
    {
        error = {};
        message.method = std::string(method.data(), method.size());
        message.target = std::string(target.data(), target.size());
        message.isHttp11 = version >= 11;
    }

    void on_response_impl(int status, Text reason, int version, Error &error) override
    {
        if (status < MinStatus) {
            error = http::error::bad_status;
            return;
        }
        error = {};
        message.status = static_cast<std::uint32_t>(status);
        message.reason = std::string(reason.data(), reason.size());
        message.isHttp11 = version >= 11;
    }

    void on_field_impl(http::field /*field*/, Text name, Text value, Error &error) override
    {
        error = {};
        message.fields.push_back(
                {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
        fieldBytes +=
                heapBytes(message.fields.back().name) + heapBytes(message.fields.back().value);
    }

    void on_header_impl(Error &error) override { error = {}; }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, Error &error) override
    {
        error = {};
    }

    std::size_t on_body_impl(Text body, Error &error) override
    {
        error = {};
        const std::size_t size = bodyBytes.size() + body.size();
        if (size > bodyBytes.capacity())
            bodyBytes.reserve(
                    std::max(size, bodyBytes.size() + bodyBytes.size() / BodyGrowthDivisor));
        bodyBytes.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/, Error &error) override
    {
        error = {};
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, Text body, Error &error) override
    {
        return on_body_impl(body, error);
    }

    void on_finish_impl(Error &error) override { error = {}; }
};

HttpParseError toParseError(const beast::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return HttpParseError::HeaderTooLarge;
    if (error == http::error::body_limit)
        return HttpParseError::BodyTooLarge;
    return HttpParseError::Malformed;
}

// True when the body has a transfer coding that this parser does not decode. Such a message must
// not be forwarded.
bool hasUnsupportedFraming(const HttpHead &head)
{
    const std::string *encoding = findField(head, "transfer-encoding");
    return encoding && !equalsIgnoringCase(*encoding, "chunked");
}

} // namespace

struct HttpParser::Impl
{
    std::variant<MessageCollector<true>, MessageCollector<false>> parser;
    std::size_t maxHeaderBytes = 0;
    std::uint64_t announcedBodyBytes = 0;
    HttpParseError error = HttpParseError::None;
    bool hasStarted = false;
    bool isHeadChecked = false;
};

HttpParser::HttpParser(HttpMessageKind kind, std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
    : impl_(std::make_unique<Impl>())
{
    impl_->maxHeaderBytes = maxHeaderBytes;
    if (kind == HttpMessageKind::Response)
        impl_->parser.emplace<MessageCollector<false>>();
    std::visit(
            [&](auto &parser) {
                parser.header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
                        maxHeaderBytes, std::numeric_limits<std::uint32_t>::max())));
                parser.body_limit(maxBodyBytes);
                parser.eager(true);
            },
            impl_->parser);
}

HttpParser::~HttpParser() = default;
HttpParser::HttpParser(HttpParser &&) noexcept = default;
HttpParser &HttpParser::operator=(HttpParser &&) noexcept = default;

bool HttpParser::consume(std::string &input)
{
    if (impl_->error != HttpParseError::None)
        return false;
    std::visit(
            [&](auto &parser) {
                while (!input.empty() && !parser.is_done()) {
                    impl_->hasStarted = true;
                    beast::error_code error;
                    const std::size_t consumed =
                            parser.put(boost::asio::buffer(input.data(), input.size()), error);
                    input.erase(0, consumed);
                    if (error == http::error::need_more)
                        return;
                    if (error) {
                        impl_->error = toParseError(error);
                        return;
                    }
                    if (consumed == 0)
                        return;
                }
            },
            impl_->parser);
    // Only a chunk header or a trailer that is not complete is left after the head.
    const bool isPartTooLong = isHeadDone() && !isDone() && input.size() > impl_->maxHeaderBytes;
    if (isPartTooLong && impl_->error == HttpParseError::None)
        impl_->error = HttpParseError::HeaderTooLarge;
    if (isHeadDone() && !impl_->isHeadChecked) {
        impl_->isHeadChecked = true;
        if (const std::string *length = findField(head(), "content-length"))
            std::from_chars(length->data(), length->data() + length->size(),
                            impl_->announcedBodyBytes);
        if (hasUnsupportedFraming(head()))
            impl_->error = HttpParseError::Malformed;
    }
    return impl_->error == HttpParseError::None;
}

void HttpParser::finishInput()
{
    std::visit(
            [this](auto &parser) {
                beast::error_code error;
                if (parser.is_header_done() && !parser.is_done())
                    parser.put_eof(error);
                if (error)
                    impl_->error = HttpParseError::Malformed;
            },
            impl_->parser);
}

void HttpParser::expectNoBody()
{
    if (auto *response = std::get_if<MessageCollector<false>>(&impl_->parser))
        response->skip(true);
}

HttpParseError HttpParser::error() const
{
    return impl_->error;
}

bool HttpParser::hasStarted() const
{
    return impl_->hasStarted;
}

bool HttpParser::isHeadDone() const
{
    return std::visit([](const auto &parser) { return parser.is_header_done(); }, impl_->parser);
}

bool HttpParser::isDone() const
{
    return std::visit([](const auto &parser) { return parser.is_done(); }, impl_->parser);
}

bool HttpParser::endsWithConnection() const
{
    return std::visit([](const auto &parser) { return parser.need_eof(); }, impl_->parser);
}

bool HttpParser::keepsAlive() const
{
    return std::visit([](const auto &parser) { return parser.keep_alive(); }, impl_->parser);
}

const HttpHead &HttpParser::head() const
{
    return std::visit([](const auto &parser) -> const HttpHead & { return parser.message; },
                      impl_->parser);
}

std::string HttpParser::takeBody()
{
    return std::visit([](auto &parser) { return std::exchange(parser.bodyBytes, {}); },
                      impl_->parser);
}

HttpHead HttpParser::takeHead()
{
    return std::visit(
            [](auto &parser) {
                parser.fieldBytes = 0;
                return std::exchange(parser.message, {});
            },
            impl_->parser);
}

std::uint64_t HttpParser::announcedBodyBytes() const
{
    return impl_->announcedBodyBytes;
}

std::size_t HttpParser::untakenBodyBytes() const
{
    return std::visit([](const auto &parser) { return parser.bodyBytes.size(); }, impl_->parser);
}

std::size_t HttpParser::memoryUse() const
{
    return std::visit(
            [](const auto &parser) {
                return parser.bodyBytes.capacity() + parser.fieldBytes
                       + parser.message.fields.capacity() * sizeof(HttpField);
            },
            impl_->parser);
}

std::size_t memoryUse(const HttpHead &head)
{
    std::size_t bytes = head.fields.capacity() * sizeof(HttpField);
    for (const HttpField &field : head.fields)
        bytes += heapBytes(field.name) + heapBytes(field.value);
    return bytes;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return beast::iequals(beast::string_view(a.data(), a.size()),
                          beast::string_view(b.data(), b.size()));
}

const std::string *findField(const HttpHead &head, std::string_view name)
{
    const auto found =
            std::find_if(head.fields.begin(), head.fields.end(), [name](const HttpField &field) {
                return equalsIgnoringCase(field.name, name);
            });
    return found == head.fields.end() ? nullptr : &found->value;
}

HopByHopFields::HopByHopFields(const HttpHead &head)
    : names_(std::begin(HopByHopNames), std::end(HopByHopNames))
{
    const std::string *connection = findField(head, "connection");
    std::string_view rest = connection ? std::string_view(*connection) : std::string_view();
    while (!rest.empty()) {
        std::string_view token = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), token.size() + 1));
        token.remove_prefix(std::min(token.size(), token.find_first_not_of(" \t")));
        names_.emplace(token.substr(0, token.find_last_not_of(" \t") + 1));
    }
}

bool HopByHopFields::contains(std::string_view name) const
{
    return names_.contains(std::string(name));
}

bool LessIgnoringCase::operator()(std::string_view a, std::string_view b) const
{
    return beast::iless()(beast::string_view(a.data(), a.size()),
                          beast::string_view(b.data(), b.size()));
}

std::string toText(const HttpHead &head)
{
    std::string text;
    if (head.status != 0)
        text = "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason + "\r\n";
    else
        text = head.method + " " + head.target + " HTTP/1.1\r\n";
    for (const HttpField &field : head.fields)
        text += field.name + ": " + field.value + "\r\n";
    text += "\r\n";
    return text;
}

std::string toChunk(std::string_view bytes)
{
    char length[20];
    const auto end = std::to_chars(length, length + sizeof length, bytes.size(), 16).ptr;
    std::string text(length, end);
    text += "\r\n";
    text += bytes;
    text += "\r\n";
    return text;
}

std::string_view reasonPhrase(std::uint32_t status)
{
    const auto reason = http::obsolete_reason(http::int_to_status(status));
    return {reason.data(), reason.size()};
}

} // namespace Trefoil
