#include "store.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr std::size_t maxRowsPerAnswer = 500;

std::string toBase64(const std::string& bytes)
{
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : digits[group >> (18U - 6U * j) & 63U];
    }
    return text;
}

std::string textOf(const Request& request, const std::string& name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

std::uint64_t numberOf(const Request& request, const std::string& name, std::uint64_t defaultValue)
{
    const std::string text = textOf(request, name);
    return text.empty() ? defaultValue : std::stoull(text);
}

} // namespace

Store::Store(const std::string& ip)
    : m_server(std::make_unique<Server>(ip, [this](const Request& request) { return handle(request); }))
{
}

std::int64_t Store::now() const
{
    return 1'000
        + std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start)
              .count();
}

void Store::setAnswerTime(int milliseconds)
{
    const std::lock_guard lock(m_mutex);
    m_answerTimeMs = milliseconds;
}

void Store::write(const Key& key, std::string value, std::uint64_t version)
{
    m_rows[key] = { std::move(value), version };
    m_history.push_back({ version, key });
}

void Store::erase(const Key& key, std::uint64_t version)
{
    if (m_rows.erase(key))
        m_history.push_back({ version, key, true });
}

void Store::put(const std::string& table, const std::string& key, const Json& value)
{
    const std::lock_guard lock(m_mutex);
    write({ table, {}, key }, toBase64(value.dump()), ++m_version);
    m_changed.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    erase({ table, {}, key }, ++m_version);
    m_changed.notify_all();
}

bool Store::hasRow(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_rows.begin(), m_rows.end(),
        [&](const auto& row) { return std::get<0>(row.first) == table && std::get<2>(row.first) == key; });
}

Json Store::encode(const Key& key, const Row& row) const
{
    const auto& [table, part, name] = key;
    return { { "table", table }, { "part", part }, { "key", name }, { "value", row.value },
        { "rowVersion", row.version } };
}

Response Store::handle(const Request& request)
{
    Response response;
    Json body;
    int answerTimeMs = 0;
    {
        const std::lock_guard lock(m_mutex);
        answerTimeMs = m_answerTimeMs;
    }
    if (request.path == "/api/rows-tx")
        body = transact(Json::parse(request.body), response.status);
    else if (request.path == "/api/rows-get")
        body = get(request);
    else if (request.path == "/api/rows-feed")
        body = feed(request);
    else
        response.status = 404;
    std::this_thread::sleep_for(std::chrono::milliseconds(answerTimeMs));
    response.body = body.dump();
    return response;
}

Json Store::transact(const Json& body, int& status)
{
    const auto keyOf = [](const Json& entry) {
        return Key { entry.value("table", ""), entry.value("part", ""), entry.value("key", "") };
    };
    const std::lock_guard lock(m_mutex);
    bool isExpected = true;
    Json current = Json::array();
    for (const Json& entry : body.value("expectedRev", Json::array())) {
        const auto row = m_rows.find(keyOf(entry));
        const std::uint64_t version = row == m_rows.end() ? 0 : row->second.version;
        isExpected = isExpected && version == entry.value("rowVersion", std::uint64_t { 0 });
        if (row != m_rows.end())
            current.push_back(encode(row->first, row->second));
    }
    if (!isExpected) {
        status = 412;
        return { { "rows", std::move(current) }, { "rowVersion", m_version }, { "nowMs", now() } };
    }
    ++m_version;
    for (const Json& entry : body.value("writes", Json::array()))
        write(keyOf(entry), entry.value("value", ""), m_version);
    for (const Json& entry : body.value("remove", Json::array()))
        erase(keyOf(entry), m_version);
    m_changed.notify_all();
    return { { "rowVersion", m_version }, { "nowMs", now() } };
}

Json Store::get(const Request& request)
{
    const std::size_t limit
        = std::min<std::size_t>(numberOf(request, "limit", maxRowsPerAnswer), maxRowsPerAnswer);
    const std::string table = textOf(request, "table");
    const std::string part = textOf(request, "part");
    const std::string target = textOf(request, "target");
    const std::lock_guard lock(m_mutex);
    Json rows = Json::array();
    bool hasMore = false;
    for (auto row = m_rows.lower_bound({ table, part, textOf(request, "from") }); row != m_rows.end();
         ++row) {
        const auto& [rowTable, rowPart, name] = row->first;
        if (rowTable != table || rowPart != part || (!target.empty() && name >= target))
            break;
        if (rows.size() == limit) {
            hasMore = true;
            break;
        }
        rows.push_back(encode(row->first, row->second));
    }
    return { { "rows", std::move(rows) }, { "hasMore", hasMore }, { "rowVersion", m_version },
        { "nowMs", now() } };
}

Json Store::feed(const Request& request)
{
    const std::string table = textOf(request, "table");
    const std::uint64_t after = numberOf(request, "after", 0);
    const auto until
        = std::chrono::steady_clock::now() + std::chrono::milliseconds(numberOf(request, "waitMs", 0));
    std::unique_lock lock(m_mutex);
    while (true) {
        Json rows = Json::array();
        for (const Change& change : m_history) {
            if (change.version <= after || std::get<0>(change.key) != table
                || rows.size() == maxRowsPerAnswer)
                continue;
            const auto row = m_rows.find(change.key);
            const bool isCurrent = row != m_rows.end() && row->second.version == change.version;
            if (isCurrent)
                rows.push_back(encode(row->first, row->second));
            else if (change.isDeleted && row == m_rows.end())
                rows.push_back({ { "table", table }, { "part", std::get<1>(change.key) },
                    { "key", std::get<2>(change.key) }, { "rowVersion", change.version },
                    { "deleted", true } });
        }
        const bool isOver = std::chrono::steady_clock::now() >= until;
        if (!rows.empty() || isOver) {
            const std::uint64_t version
                = rows.size() == maxRowsPerAnswer ? rows.back().value("rowVersion", m_version) : m_version;
            return { { "rows", std::move(rows) }, { "rowVersion", version }, { "nowMs", now() } };
        }
        m_changed.wait_until(lock, until);
    }
}

} // namespace review
