#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Trefoil {

// Finding about a document that cannot be unpacked.
constexpr const char *InvalidDocumentFinding = "the stored document cannot be unpacked";

// Published documents are kept and sent compressed.
std::string compressDocument(std::string_view document);

// Takes also a document that is not compressed. Nothing when the data is broken.
std::optional<std::string> decompressDocument(std::string_view compressed);

} // namespace Trefoil
