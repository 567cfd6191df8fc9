#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Trefoil {

// Reported for a document that cannot be decompressed.
constexpr const char *InvalidDocumentFinding = "the stored document cannot be unpacked";

// Compresses a configuration document, which is stored and sent in this form.
std::string compressDocument(std::string_view document);

// Returns the original document, or nothing when the data is corrupt. A document that is not
// compressed is returned unchanged.
std::optional<std::string> decompressDocument(std::string_view compressed);

} // namespace Trefoil
