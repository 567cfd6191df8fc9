#include "trefoilctl/client.h"

#include "libruntime/address.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Trefoil {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

Request makeRequest(const ClientOptions &options, const StatementRequest &statement,
                    const std::string &entry)
{
    Request request(http::verb::post, "/v1/statement", 11);
    request.set(http::field::host, entry);
    request.set("Trefoil-Operator", options.operatorName);
    request.set("Trefoil-Command-Number", std::to_string(statement.number));
    if (statement.expectedVersion)
        request.set("Trefoil-Expected-Version", std::to_string(*statement.expectedVersion));
    if (options.waitMs > 0)
        request.set("Trefoil-Wait-Ms", std::to_string(options.waitMs));
    request.body() = statement.text;
    request.prepare_payload();
    return request;
}

// Runs one step of the exchange to its end within the stream's timeout.
template <class Start>
void runStep(asio::io_context &context, Start start)
{
    beast::error_code result;
    start([&result](const beast::error_code &error, auto...) { result = error; });
    context.restart();
    context.run();
    if (result)
        throw beast::system_error(result);
}

std::string exchange(const ClientOptions &options, const StatementRequest &statement,
                     const std::string &entry)
{
    const auto address = parseAddress(entry);
    if (!address)
        throw ClientError("'" + entry + "' is not an IP number and a port");
    asio::io_context context;
    beast::tcp_stream stream(context);
    const std::chrono::milliseconds timeout(options.timeoutMs + options.waitMs);
    stream.expires_after(timeout);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->host), address->port);
    runStep(context, [&](auto handler) { stream.async_connect(endpoint, handler); });
    const Request request = makeRequest(options, statement, entry);
    runStep(context, [&](auto handler) { http::async_write(stream, request, handler); });
    beast::flat_buffer buffer;
    Response response;
    runStep(context, [&](auto handler) { http::async_read(stream, buffer, response, handler); });
    return response.body();
}

} // namespace

std::string sendStatement(const ClientOptions &options, const StatementRequest &request)
{
    std::string failures;
    for (const std::string &entry : options.entries) {
        try {
            return exchange(options, request, entry);
        } catch (const beast::system_error &error) {
            failures += "\n  " + entry + ": " + error.code().message();
        }
    }
    throw ClientError("no entry answered:" + failures);
}

} // namespace Trefoil
