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
                    const std::string &entryAddress)
{
    Request request(http::verb::post, "/v1/statement", 11);
    request.set(http::field::host, entryAddress);
    request.set("Trefoil-Operator", options.operatorName);
    request.set("Trefoil-Command-Number", std::to_string(statement.commandNumber));
    if (statement.expectedVersion)
        request.set("Trefoil-Expected-Version", std::to_string(*statement.expectedVersion));
    if (options.waitMs > 0)
        request.set("Trefoil-Wait-Ms", std::to_string(options.waitMs));
    request.body() = statement.text;
    request.prepare_payload();
    return request;
}

// Runs one asynchronous operation until it ends, limited by the stream's timeout.
template <class Operation>
void runOperation(asio::io_context &context, Operation startOperation)
{
    beast::error_code result;
    startOperation([&result](const beast::error_code &error, auto...) { result = error; });
    context.restart();
    context.run();
    if (result)
        throw beast::system_error(result);
}

std::string sendToEntry(const ClientOptions &options, const StatementRequest &statement,
                        const std::string &entryAddress)
{
    const auto address = parseAddress(entryAddress);
    if (!address)
        throw ClientError("'" + entryAddress + "' is not an IP address and a port");
    asio::io_context context;
    beast::tcp_stream stream(context);
    const std::chrono::milliseconds timeout(options.timeoutMs + options.waitMs);
    stream.expires_after(timeout);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->host), address->port);
    runOperation(context, [&](auto handler) { stream.async_connect(endpoint, handler); });
    const Request request = makeRequest(options, statement, entryAddress);
    runOperation(context, [&](auto handler) { http::async_write(stream, request, handler); });
    beast::flat_buffer buffer;
    Response response;
    runOperation(context,
                 [&](auto handler) { http::async_read(stream, buffer, response, handler); });
    return response.body();
}

} // namespace

std::string sendStatement(const ClientOptions &options, const StatementRequest &request)
{
    std::string failures;
    for (const std::string &entryAddress : options.entryAddresses) {
        try {
            return sendToEntry(options, request, entryAddress);
        } catch (const beast::system_error &error) {
            failures += "\n  " + entryAddress + ": " + error.code().message();
        }
    }
    throw ClientError("no entry answered:" + failures);
}

} // namespace Trefoil
