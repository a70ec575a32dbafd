#include "measure/report.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace anvilmoor::measure {

namespace {

std::string number(const Figures& figures, const std::string& key)
{
    const auto found = figures.find(key);
    return found == figures.end() ? "-" : fmt::format("{:.3f}", found->second);
}

std::string row(const Target& target)
{
    const bool isRun = !std::isnan(target.value) && !std::isnan(target.bound);
    const char* verdict = !isRun ? "not run" : target.isMet() ? "met" : "NOT MET";
    return fmt::format("{:<62} {:>12.3f} {} {:>10.3f}  {}\n", target.text, target.value,
        target.isUpperBound ? "<=" : ">=", target.bound, verdict);
}

bool writeFile(const std::string& path, const std::string& text)
{
    std::ofstream file(path);
    file << text;
    return bool(file);
}

} // namespace

Report::Report(const std::string& previousFile)
{
    std::ifstream file(previousFile);
    if (file)
        m_previous = nlohmann::json::parse(file, nullptr, false);
    if (m_previous.is_discarded())
        m_previous = nlohmann::json();
}

void Report::add(const std::string& user, Figures baseline, Figures current)
{
    Figures previous;
    if (m_previous.is_object() && m_previous.contains(user))
        previous = m_previous[user]["current"].get<Figures>();
    m_users.push_back({ user, std::move(baseline), std::move(previous), std::move(current) });
}

void Report::addCosts(const std::string& placementFile, const std::string& requestFile)
{
    std::ifstream placement(placementFile);
    double gangMs = 0;
    for (std::string line; std::getline(placement, line);) {
        const nlohmann::json entry = nlohmann::json::parse(line, nullptr, false);
        if (entry.is_discarded() || entry.value("policy", "") != "guarantee_aware"
            || entry.value("workers", 0) != 19'000)
            continue;
        const std::string name = entry.value("case", "");
        if (name.find("_512") != std::string::npos)
            gangMs = std::max(gangMs, entry.value("median_us", 0.0) / 1'000);
    }
    std::ifstream request(requestFile);
    double decisionUs = 0;
    for (std::string line; std::getline(request, line);) {
        const std::size_t mean = line.find("mean ");
        if (line.rfind("fair share, zone aware", 0) == 0 && mean != std::string::npos)
            decisionUs = std::stod(line.substr(mean + 5));
    }
    if (gangMs > 0)
        m_costs.push_back(
            { "median placement of a 512 gang, 19,000 workers, ms (real time)", gangMs, 5, true });
    if (decisionUs > 0)
        m_costs.push_back({ "admission plus routing, mean, us (real time)", decisionUs, 5, true });
}

std::string Report::table() const
{
    std::string text;
    for (const UserFigures& user : m_users) {
        text += fmt::format(
            "{:<40} {:<7} {:>12} {:>12} {:>12}\n", user.name, "unit", "baseline", "previous", "current");
        for (const FigureKind& kind : figureKinds())
            text += fmt::format("{:<40} {:<7} {:>12} {:>12} {:>12}\n", kind.key, kind.unit,
                number(user.baseline, kind.key), number(user.previous, kind.key),
                number(user.current, kind.key));
        const std::string before = user.previous.empty()
            ? "-"
            : fmt::format("{:.3f}", score(user.name, user.baseline, user.previous));
        text += fmt::format("{:<40} {:<7} {:>12.3f} {:>12} {:>12.3f}\n\n", "weighted score", "of 100", 50.0,
            before, score(user.name, user.baseline, user.current));
    }
    for (const UserFigures& user : m_users) {
        text += fmt::format("{} targets\n", user.name);
        for (const Target& target : targets(user.baseline, user.current))
            text += row(target);
        text += "\n";
    }
    for (const Target& cost : m_costs)
        text += row(cost);
    return text;
}

nlohmann::json Report::json() const
{
    nlohmann::json document;
    for (const UserFigures& user : m_users) {
        nlohmann::json& entry = document[user.name];
        entry = { { "baseline", user.baseline }, { "current", user.current },
            { "score", score(user.name, user.baseline, user.current) } };
        for (const Target& target : targets(user.baseline, user.current))
            entry["targets"].push_back({ { "target", target.text }, { "value", target.value },
                { "bound", target.bound }, { "is_met", target.isMet() } });
    }
    return document;
}

std::string Report::svg() const
{
    constexpr int columnWidth = 520;
    constexpr int groupHeight = 44;
    constexpr int barHeight = 10;
    constexpr int labelWidth = 250;
    constexpr int barWidth = 200;
    const int height = 60 + groupHeight * int(figureKinds().size());
    std::string text = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
                                   "font-family=\"sans-serif\" font-size=\"11\">\n",
        columnWidth * int(m_users.size()), height);
    for (std::size_t column = 0; column < m_users.size(); ++column) {
        const UserFigures& user = m_users[column];
        const int left = columnWidth * int(column) + 10;
        text += fmt::format("<text x=\"{}\" y=\"20\" font-size=\"15\">{}</text>\n", left, user.name);
        text
            += fmt::format("<text x=\"{}\" y=\"36\">bars: baseline (grey), previous (blue), current (green); "
                           "each group to its own scale</text>\n",
                left);
        int top = 50;
        for (const FigureKind& kind : figureKinds()) {
            text += fmt::format("<text x=\"{}\" y=\"{}\">{} [{}]{}</text>\n", left, top + 20, kind.key,
                kind.unit, kind.isSmallerBetter ? "" : " (more is better)");
            double largest = 0;
            for (const Figures* figures : { &user.baseline, &user.previous, &user.current }) {
                const auto found = figures->find(kind.key);
                largest = std::max(largest, found == figures->end() ? 0 : found->second);
            }
            int bar = 0;
            for (const auto& [figures, colour] : { std::pair(&user.baseline, "#999999"),
                     std::pair(&user.previous, "#4477aa"), std::pair(&user.current, "#228833") }) {
                const auto found = figures->find(kind.key);
                if (found == figures->end()) {
                    ++bar;
                    continue;
                }
                const double width = largest > 0 ? barWidth * found->second / largest : 0;
                text += fmt::format(
                    "<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\"/><text x=\"{:.1f}\" "
                    "y=\"{}\" font-size=\"9\">{:.3f}</text>\n",
                    left + labelWidth, top + bar * (barHeight + 2), width, barHeight, colour,
                    left + labelWidth + width + 3, top + bar * (barHeight + 2) + 9, found->second);
                ++bar;
            }
            top += groupHeight;
        }
    }
    return text + "</svg>\n";
}

bool Report::write(const std::string& directory) const
{
    std::error_code error;
    std::filesystem::create_directories(directory, error);
    return writeFile(directory + "/measure.json", json().dump(2) + "\n")
        && writeFile(directory + "/measure.svg", svg());
}

} // namespace anvilmoor::measure
