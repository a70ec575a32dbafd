#include "ctl/declaration_files.h"

#include <fstream>
#include <iterator>
#include <vector>

namespace anvilmoor::ctl {

tl::expected<Declaration, ConfigurationProblems> readDeclarationFiles(std::span<const std::string> paths)
{
    std::vector<DeclarationSource> sources;
    ConfigurationProblems problems;
    for (const std::string& path : paths) {
        std::ifstream stream(path, std::ios::binary);
        if (!stream) {
            problems.push_back({ path, {}, "cannot be read; does the file exist?" });
            continue;
        }
        sources.push_back({ path, { std::istreambuf_iterator<char>(stream), {} } });
    }
    if (paths.empty())
        problems.push_back({ {}, {}, "no declaration file was given" });
    if (!problems.empty())
        return tl::unexpected(std::move(problems));
    return mergeDeclarations(sources.front(), std::span(sources).subspan(1));
}

} // namespace anvilmoor::ctl
