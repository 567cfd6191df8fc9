#include "libgateway/documentpacking.h"

#include <boost/iostreams/copy.hpp>
#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/device/back_inserter.hpp>
#include <boost/iostreams/filter/zlib.hpp>
#include <boost/iostreams/filtering_stream.hpp>

namespace Trefoil {

namespace io = boost::iostreams;

namespace {

constexpr char FirstByteOfZlib = 0x78;

} // namespace

std::string packDocument(std::string_view document)
{
    std::string packed;
    io::filtering_ostream stream;
    stream.push(io::zlib_compressor(io::zlib::best_speed));
    stream.push(io::back_inserter(packed));
    stream.write(document.data(), static_cast<std::streamsize>(document.size()));
    stream.reset();
    return packed;
}

std::optional<std::string> unpackDocument(std::string_view packed)
{
    if (packed.empty() || packed.front() != FirstByteOfZlib)
        return std::string(packed);
    std::string document;
    try {
        io::filtering_istream stream;
        stream.push(io::zlib_decompressor());
        stream.push(io::array_source(packed.data(), packed.size()));
        io::copy(stream, io::back_inserter(document));
    } catch (const io::zlib_error &) {
        return std::nullopt;
    }
    return document;
}

} // namespace Trefoil
