#include "store.h"

#include <chrono>
#include <thread>

namespace review {

namespace {

// Of an invalid call, the record keeps the first ones and then each hundredth.
constexpr std::int64_t recordedRefusals = 10;
constexpr std::int64_t refusalsPerRecord = 100;

std::string text(const Json& object, const char* field) { return object.value(field, std::string()); }

// Bytes that a base64 text stands for.
std::size_t decodedBytes(const std::string& base64)
{
    std::size_t padding = 0;
    while (padding < 2 && padding < base64.size() && base64[base64.size() - 1 - padding] == '=')
        ++padding;
    return base64.size() / 4 * 3 - padding;
}

std::string queryOr(const HttpMessage& request, const char* name, const std::string& defaultValue = {})
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? defaultValue : found->second;
}

} // namespace

std::string toBase64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8U | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            encoded += k <= count ? digits[group >> (18 - 6 * k) & 63U] : '=';
    }
    return encoded;
}

Store::Store(Record& record, StoreLimits limits, int daemons)
    : m_record(record)
    , m_limits(limits)
{
    for (int i = 0; i < daemons; ++i) {
        m_links.push_back(std::make_unique<Link>());
        Link& link = *m_links.back();
        link.server = std::make_unique<HttpServer>(
            [this, &link](const HttpMessage& request) { return serve(link, request); });
    }
}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_changed.notify_all();
    }
    for (const auto& link : m_links)
        link->server.reset();
}

void Store::put(const std::string& table, const std::string& key, const Json& value)
{
    const std::lock_guard lock(m_mutex);
    write({ table, "", key }, toBase64(value.dump()), ++m_version);
    m_changed.notify_all();
}

void Store::write(const Key& key, std::string base64, std::uint64_t version)
{
    m_rows[key] = { std::move(base64), version };
    auto& changes = m_changes[std::get<0>(key)];
    changes.erase({ m_lastChange[key], key });
    changes.emplace(version, key);
    m_lastChange[key] = version;
}

void Store::erase(const Key& key, std::uint64_t version)
{
    if (!m_rows.erase(key))
        return;
    auto& changes = m_changes[std::get<0>(key)];
    changes.erase({ m_lastChange[key], key });
    changes.emplace(version, key);
    m_lastChange[key] = version;
}

Json Store::describe(const Key& key, const Row& row) const
{
    return { { "table", std::get<0>(key) }, { "part", std::get<1>(key) }, { "key", std::get<2>(key) },
        { "value", row.value }, { "rowVersion", row.version } };
}

Json Store::answerFields() const
{
    return { { "rowVersion", m_version }, { "nowMs", steadyMs() - m_startMs + 1 } };
}

// Holds an answer back for as long as the daemon's link takes for it.
HttpMessage Store::serve(Link& link, const HttpMessage& request)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(m_limits.answerMs));
    HttpMessage answer = handle(request);
    if (!m_limits.linkMbps)
        return answer;
    constexpr double bitsPerByte = 8;
    const double bytesPerMs = m_limits.linkMbps * 1'000 / bitsPerByte;
    ++link.answers;
    auto left = static_cast<double>(answer.body.size());
    auto last = SteadyClock::now();
    while (left > 0) {
        std::this_thread::sleep_for(std::chrono::microseconds(500));
        const auto now = SteadyClock::now();
        left -= bytesPerMs * std::chrono::duration<double, std::milli>(now - last).count() / link.answers;
        last = now;
    }
    --link.answers;
    return answer;
}

HttpMessage Store::handle(const HttpMessage& request)
{
    try {
        if (request.path == "/api/rows-tx")
            return transact(request);
        if (request.path == "/api/rows-get")
            return get(request);
        if (request.path == "/api/rows-parts")
            return parts(request);
        if (request.path == "/api/rows-feed")
            return feed(request);
    } catch (const std::exception& error) {
        return jsonAnswer(400, Json { { "error", error.what() } }.dump());
    }
    return jsonAnswer(404, "{}");
}

std::string Store::findInvalid(const Json& call, std::size_t bytes) const
{
    const Json none = Json::array();
    const Json& expected = call.contains("expectedRev") ? call["expectedRev"] : none;
    const Json& writes = call.contains("writes") ? call["writes"] : none;
    const Json& removals = call.contains("remove") ? call["remove"] : none;
    if (expected.size() + writes.size() + removals.size() > m_limits.entriesPerCall)
        return "more than 100 entries";
    if (bytes > m_limits.callBytes)
        return "the call is larger than 1 MB";
    for (const Json& row : writes) {
        const std::size_t size = decodedBytes(text(row, "value"));
        if (size > m_limits.rowBytes)
            return "the value of " + text(row, "table") + "/" + text(row, "key") + " has "
                + std::to_string(size) + " bytes, more than rowBytes";
    }
    return {};
}

HttpMessage Store::transact(const HttpMessage& request)
{
    const Json call = Json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    if (const std::string problem = findInvalid(call, request.body.size()); !problem.empty()) {
        if (++m_refusedCalls <= recordedRefusals || m_refusedCalls % refusalsPerRecord == 0)
            m_record.write(
                "store: refused transaction " + std::to_string(m_refusedCalls) + " with 400: " + problem);
        return jsonAnswer(400, Json { { "error", problem } }.dump());
    }
    const auto keyOf
        = [](const Json& row) { return Key(text(row, "table"), text(row, "part"), text(row, "key")); };
    const Json none = Json::array();
    bool isMet = true;
    Json current = Json::array();
    for (const Json& row : call.value("expectedRev", none)) {
        const auto found = m_rows.find(keyOf(row));
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        isMet = isMet && version == row.value("rowVersion", std::uint64_t { 0 });
        if (found != m_rows.end())
            current.push_back(describe(found->first, found->second));
    }
    if (!isMet) {
        Json answer = answerFields();
        answer["rows"] = std::move(current);
        return jsonAnswer(412, answer.dump());
    }
    ++m_version;
    for (const Json& row : call.value("writes", none))
        write(keyOf(row), text(row, "value"), m_version);
    for (const Json& row : call.value("remove", none))
        erase(keyOf(row), m_version);
    m_changed.notify_all();
    return jsonAnswer(200, answerFields().dump());
}

HttpMessage Store::get(const HttpMessage& request)
{
    const std::lock_guard lock(m_mutex);
    const std::string table = queryOr(request, "table");
    const std::string part = queryOr(request, "part");
    const std::string end = queryOr(request, "target");
    const auto limit = std::min<std::size_t>(
        static_cast<std::size_t>(std::stoul(queryOr(request, "limit", "500"))), m_limits.rowsPerAnswer);
    Json rows = Json::array();
    std::size_t bytes = 0;
    bool hasMore = false;
    for (auto each = m_rows.lower_bound({ table, part, queryOr(request, "from") }); each != m_rows.end();
         ++each) {
        const auto& [rowTable, rowPart, key] = each->first;
        if (rowTable != table || rowPart != part || (!end.empty() && key >= end))
            break;
        bytes += each->second.value.size();
        if (rows.size() >= limit || (bytes > m_limits.callBytes && !rows.empty())) {
            hasMore = true;
            break;
        }
        rows.push_back(describe(each->first, each->second));
    }
    Json answer = answerFields();
    answer["rows"] = std::move(rows);
    answer["hasMore"] = hasMore;
    return jsonAnswer(200, answer.dump());
}

HttpMessage Store::parts(const HttpMessage& request)
{
    const std::lock_guard lock(m_mutex);
    Json parts = Json::array();
    const std::string after = queryOr(request, "after");
    for (const auto& [key, row] : m_rows) {
        const auto& [table, part, name] = key;
        const bool isNew = parts.empty() || parts.back() != part;
        if (table == queryOr(request, "table") && part > after && isNew)
            parts.push_back(part);
    }
    Json answer = answerFields();
    answer["parts"] = std::move(parts);
    return jsonAnswer(200, answer.dump());
}

HttpMessage Store::feed(const HttpMessage& request)
{
    const std::string table = queryOr(request, "table");
    const std::uint64_t after = std::stoull(queryOr(request, "after", "0"));
    const int waitMs = std::min(std::stoi(queryOr(request, "waitMs", "0")), 30'000);
    std::unique_lock lock(m_mutex);
    const auto hasChange = [&] {
        const auto& changes = m_changes[table];
        return m_isStopping || (!changes.empty() && changes.rbegin()->first > after);
    };
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), hasChange);
    Json rows = Json::array();
    Json answer = answerFields();
    for (const auto& [version, key] : m_changes[table]) {
        if (version <= after)
            continue;
        // The rows of one transaction stay together, because the next call continues after its version.
        const bool isFull = rows.size() >= m_limits.rowsPerAnswer;
        if (isFull && rows.back()["rowVersion"].get<std::uint64_t>() != version) {
            answer["rowVersion"] = rows.back()["rowVersion"];
            break;
        }
        const auto row = m_rows.find(key);
        if (row != m_rows.end()) {
            rows.push_back(describe(row->first, row->second));
            continue;
        }
        Json dropped = describe(key, { "", version });
        dropped["deleted"] = true;
        rows.push_back(std::move(dropped));
    }
    answer["rows"] = std::move(rows);
    return jsonAnswer(200, answer.dump());
}

} // namespace review
