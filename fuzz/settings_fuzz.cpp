#include "drivers/view_file.h"
#include "drivers/yaml_catalogue.h"
#include "drivers/yaml_settings.h"
#include "drivers/yaml_tagged_settings.h"
#include "fuzz/fuzz_input.h"

#include <string>

using namespace boragelug;

/// Files of operators: a refused file must come with a reason.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(FuzzInput(data, size).text);
    const auto settings = parseSettings(text, "file");
    require(settings || !settings.lastReason().empty());
    const auto tagged = parseTaggedSettings(text, "file");
    require(tagged || !tagged.lastReason().empty());
    const auto catalogue = parseCatalogue(text, "file");
    require(catalogue || !catalogue.lastReason().empty());
    const auto view = parseViewFile(text);
    require(view || !view.lastReason().empty());
    return 0;
}
