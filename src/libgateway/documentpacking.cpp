#include "libgateway/documentpacking.h"

#include <boost/iostreams/copy.hpp>
#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/device/back_inserter.hpp>
#include <boost/iostreams/filter/zlib.hpp>
#include <boost/iostreams/filtering_stream.hpp>

namespace Trefoil {

namespace io = boost::iostreams;

namespace {

constexpr char ZlibFirstByte = 0x78;

} // namespace

std::string compressDocument(std::string_view document)
{
    std::string compressed;
    io::filtering_ostream stream;
    stream.push(io::zlib_compressor(io::zlib::best_speed));
    stream.push(io::back_inserter(compressed));
    stream.write(document.data(), static_cast<std::streamsize>(document.size()));
    stream.reset();
    return compressed;
}

std::optional<std::string> decompressDocument(std::string_view compressed)
{
    if (compressed.empty() || compressed.front() != ZlibFirstByte)
        return std::string(compressed);
    std::string document;
    try {
        io::filtering_istream stream;
        stream.push(io::zlib_decompressor());
        stream.push(io::array_source(compressed.data(), compressed.size()));
        io::copy(stream, io::back_inserter(document));
    } catch (const io::zlib_error &) {
        return std::nullopt;
    }
    return document;
}

} // namespace Trefoil
