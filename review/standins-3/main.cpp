// Plays one case of the review against gateway processes: standins CASE PROGRAM RECORD_FOLDER TEMPORARY_FOLDER.
// With TROUBLE=0 the disruption is left out. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
#include "deployment.hpp"

#include <array>
#include <random>

using namespace review;

namespace {

struct paths {
    std::string program;
    std::string temporary;
};

/// One service with its backends, one route to it, and gateways in one zone.
struct deployment {
    paths where;
    store platform { addressOf(1) };
    std::vector<std::unique_ptr<backend>> backends;
    std::vector<std::unique_ptr<gateway>> gateways;

    void addBackends(
        int count, const std::string& service, const std::function<void(int, connection&, const message&)>& run)
    {
        for (int number = 0; number < count; ++number) {
            backends.push_back(std::make_unique<backend>(addressOf(10 + number), "i-" + std::to_string(number), service,
                [number, run](connection& to, const message& request) { run(number, to, request); }));
            platform.put("servers/" + backends.back()->id, backends.back()->entry("midden-a"));
        }
    }

    void startGateways(int count)
    {
        for (int number = 0; number < count; ++number) {
            gateways.push_back(std::make_unique<gateway>(where.program, where.temporary,
                "front-" + std::to_string(number), addressOf(101 + number), "midden-a", platform.address(),
                std::vector<std::string> { addressOf(101) }));
            gateways.back()->start();
        }
        sleepFor(5000ms); // longer than stable-window, so that all machines are in touch
        for (const auto& started : gateways) {
            if (!started->isReady())
                cannotRun(started->name() + " is not ready");
        }
        record::line("all gateways are ready");
    }

    [[noreturn]] void finish(bool broken, const std::string& summary)
    {
        std::string how;
        for (const auto& running : gateways) {
            if (running->hasEnded(how))
                record::line("%s has ended by itself: %s", running->name().c_str(), how.c_str());
            running->kill();
        }
        record::line("%s: %s", broken ? "BROKEN" : "held", summary.c_str());
        std::printf("%s: %s\n", broken ? "BROKEN" : "held", summary.c_str());
        std::fflush(stdout);
        ::_exit(broken ? 1 : 0);
    }
};

std::string idOf(const message& request)
{
    return request.header("X-Acaciaslip-Request-Id");
}

/// Requests by id: where they were seen.
class ledger {
public:
    void arrive(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_arrivals[id];
    }
    int arrivals(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals[id];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_arrivals;
};

/// Some backends end a small part of their answers with the connection instead of a length, while clients have sent a
/// further request on the same connection.
[[noreturn]] void playUnframed(deployment& played, bool trouble)
{
    ledger seen;
    std::atomic<int> unframed { 0 };
    std::atomic<bool> garbles { false };
    played.platform.put(
        "op/config", configuration(1, { { "x.example", "/slots/", "slotview", true, "1200ms", "600ms", 2 } }));
    played.addBackends(6, "slotview", [&](int number, connection& to, const message& request) {
        thread_local std::mt19937 random(std::random_device {}());
        const auto id = idOf(request);
        seen.arrive(id);
        sleepFor(std::chrono::milliseconds(120 + random() % 200));
        const auto headers = played.backends[static_cast<std::size_t>(number)]->headers(request);
        const std::string body = "answer to " + id;
        if (garbles && number < 3 && random() % 100 < 5) {
            ++unframed;
            record::line("backend i-%d: answers %s without a length", number, id.c_str());
            to.send("HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body);
            ::shutdown(to.socket(), SHUT_WR);
            sleepFor(50ms);
            to.close();
            return;
        }
        to.send(answer(200, headers, body));
    });
    played.startGateways(2);
    std::atomic<int> sent { 0 };
    std::atomic<int> answered { 0 };
    std::atomic<int> lost { 0 };
    std::vector<std::thread> clients;
    const auto until = clock_type::now() + 50s;
    std::thread disruption([&] {
        for (int window = 0; trouble && window < 8; ++window) {
            garbles = true;
            record::line("backends i-0 to i-2: 5 in 100 answers have no length, for 5 s");
            sleepFor(5000ms);
            garbles = false;
            sleepFor(1000ms);
        }
    });
    for (int number = 0; number < 8; ++number) {
        clients.emplace_back([&, number] {
            std::unique_ptr<connection> kept;
            bool isKept = false;
            for (int round = 0; clock_type::now() < until; ++round) {
                if (!kept) {
                    kept = played.gateways[static_cast<std::size_t>(number) % 2]->connect();
                    isKept = false;
                }
                if (!kept)
                    cannotRun("cannot connect to a gateway");
                std::string ids[2];
                std::string both;
                for (int place = 0; place < 2; ++place) {
                    ids[place] = "c" + std::to_string(number) + "-" + std::to_string(round) + (place == 0 ? "a" : "b");
                    both += request("GET", "x.example", "/slots/" + ids[place], ids[place], 2500);
                }
                kept->send(both);
                sent += 2;
                const auto first = kept->read(4s);
                answered += first.status() == 200 ? 1 : 0;
                if (first.header("Content-Length").empty()) {
                    // The answer ends with the connection, and so does the wait for the second one.
                    const auto rest = kept->read(4s);
                    const int arrivals = seen.arrivals(ids[1]);
                    record::line(
                        "client %d: answer %d to %s has no length and ends the connection; %s had reached %d backends "
                        "and has no answer%s",
                        number, first.status(), ids[0].c_str(), ids[1].c_str(), arrivals, isKept ? "" : " (first use)");
                    lost += isKept && arrivals > 0 ? 1 : 0;
                    kept.reset();
                    continue;
                }
                const auto second = kept->read(4s);
                answered += second.status() == 200 ? 1 : 0;
                isKept = true;
                if (second.header("Content-Length").empty())
                    kept.reset();
            }
        });
    }
    for (auto& client : clients)
        client.join();
    disruption.join();
    played.finish(lost > 3,
        std::to_string(lost)
            + " requests from kept connections were passed on to sound backends and their connections closed "
            + "without an answer (3 are allowed); " + std::to_string(sent) + " sent, " + std::to_string(answered)
            + " answered, " + std::to_string(unframed) + " answers without a length");
}

/// Clients do not read for four seconds while an answer is under way.
[[noreturn]] void playSlowReader(deployment& played, bool trouble)
{
    constexpr int clientCount = 8;
    played.platform.put(
        "op/config", configuration(1, { { "x.example", "/jobs/", "archiefdesk", true, "5000ms", "2000ms", 2 } }));
    ledger seen;
    played.addBackends(4, "archiefdesk", [&](int number, connection& to, const message& request) {
        seen.arrive(idOf(request));
        sleepFor(600ms);
        record::line("backend i-%d: ran %s", number, idOf(request).c_str());
        const std::size_t size = request.target() == "/jobs/list" ? 9000 : 500;
        to.send(
            answer(200, played.backends[static_cast<std::size_t>(number)]->headers(request), std::string(size, 'j')));
    });
    played.startGateways(2);
    std::atomic<int> lost { 0 };
    std::vector<std::thread> clients;
    for (int number = 0; number < clientCount; ++number) {
        clients.emplace_back([&, number] {
            // The window of a small device: a few segments.
            const auto kept = played.gateways[static_cast<std::size_t>(number) % 2]->connect(2048);
            if (!kept)
                cannotRun("cannot connect to a gateway");
            const auto first = "c" + std::to_string(number) + "-first";
            kept->send(request("GET", "x.example", "/jobs/one", first, 10000));
            if (!kept->read(8s).complete)
                cannotRun("no answer before the disruption");
            const auto second = "c" + std::to_string(number) + "-second";
            kept->send(request("GET", "x.example", "/jobs/list", second, 10000));
            sleepFor(1000ms);
            record::line("client %d: %s", number, trouble ? "stops reading for 4 s" : "reads");
            if (trouble)
                sleepFor(4000ms);
            const auto read = kept->read(4s);
            record::line("client %d: read %zu of 9000 bytes of the answer to %s%s", number, read.body.size(),
                second.c_str(),
                read.complete    ? ""
                    : read.reset ? ", then a reset"
                                 : ", then nothing");
            lost += !read.complete && seen.arrivals(second) > 0 ? 1 : 0;
        });
    }
    for (auto& client : clients)
        client.join();
    played.finish(lost > 3,
        std::to_string(lost) + " of " + std::to_string(clientCount)
            + " requests from kept connections ran on a sound backend and their connections closed without a whole "
              "answer "
              "(3 are allowed)");
}

/// The store is away for three seconds. Long after its return, three of fifteen backends are cut off from the store for
/// five seconds, so that their entries lapse; they still serve the gateways.
[[noreturn]] void playLapsed(deployment& played, bool trouble)
{
    struct arrival {
        double at = 0;
        int backend = 0;
        std::string id;
    };
    struct absence {
        double removedAt = 0;
        double backAt = 0;
    };
    std::mutex mutex;
    std::vector<arrival> arrivals;
    played.platform.put(
        "op/config", configuration(1, { { "x.example", "/slots/", "slotview", true, "1200ms", "600ms", 2 } }));
    played.addBackends(15, "slotview", [&](int number, connection& to, const message& request) {
        {
            const std::lock_guard lock(mutex);
            arrivals.push_back({ elapsed(), number, idOf(request) });
        }
        sleepFor(100ms);
        to.send(answer(200, played.backends[static_cast<std::size_t>(number)]->headers(request), "free"));
    });
    played.startGateways(3);
    std::atomic<bool> stopped { false };
    std::vector<std::thread> clients;
    for (int number = 0; number < 24; ++number) {
        clients.emplace_back([&, number] {
            auto kept = played.gateways[static_cast<std::size_t>(number) % 3]->connect();
            for (int round = 0; kept && !stopped; ++round) {
                kept->send(request(
                    "GET", "x.example", "/slots/x", "c" + std::to_string(number) + "-" + std::to_string(round), 2500));
                if (!kept->read(4s).complete)
                    kept = played.gateways[static_cast<std::size_t>(number) % 3]->connect();
            }
        });
    }
    sleepFor(2000ms);
    if (trouble) {
        played.platform.setMode(store_mode::silent);
        sleepFor(3000ms);
        played.platform.setMode(store_mode::normal);
    }
    sleepFor(15000ms);
    const std::array<std::size_t, 3> cutOff { 2, 7, 11 };
    const std::string zone = "midden-a";
    record::line("backends i-2, i-7 and i-11: cut off from the store for 5 s");
    // They have last written 1.45, 1.32 and 1.19 s ago, and write every 1.5 s. Their entries lapse after 4.5 s.
    std::map<std::size_t, absence> absences;
    sleepFor(3050ms);
    for (const auto number : cutOff) {
        played.platform.put("servers/" + played.backends[number]->id, std::nullopt);
        absences[number].removedAt = elapsed();
        sleepFor(130ms);
    }
    sleepFor(2610ms);
    for (const auto number : cutOff) {
        absences[number].backAt = elapsed();
        played.platform.put("servers/" + played.backends[number]->id, played.backends[number]->entry(zone));
        sleepFor(130ms);
    }
    sleepFor(1000ms);
    stopped = true;
    for (auto& client : clients)
        client.join();
    constexpr double drain = 2.0;
    int late = 0;
    double latest = 0;
    for (const auto& [at, number, id] : arrivals) {
        const auto gone = absences.find(static_cast<std::size_t>(number));
        if (gone == absences.end() || at <= gone->second.removedAt || at >= gone->second.backAt)
            continue;
        latest = std::max(latest, at - gone->second.removedAt);
        if (at > gone->second.removedAt + drain) {
            ++late;
            record::line("request %s reached backend i-%d %.3f s after the ack of its removal", id.c_str(), number,
                at - gone->second.removedAt);
        }
    }
    char summary[200];
    std::snprintf(summary, sizeof summary,
        "%d requests reached a backend later than drain (2 s) after the ack of its removal, the last one %.3f s after "
        "it",
        late, latest);
    played.finish(late > 0, summary);
}

/// Four of fourteen clients, which have sent twenty requests each on one connection, leave after 0.7 s.
[[noreturn]] void playLeftPipeline(deployment& played, bool trouble)
{
    constexpr int leavingClients = 4;
    constexpr int stayingClients = 10;
    constexpr auto work = 2000ms;
    constexpr int perConnection = 20;
    std::atomic<double> closedAt { 1e9 };
    std::atomic<int> late { 0 };
    std::atomic<int> ended { 0 };
    std::atomic<int> workedOn { 0 };
    played.platform.put(
        "op/config", configuration(1, { { "x.example", "/jobs/", "archiefdesk", true, "5000ms", "4000ms", 2 } }));
    played.addBackends(24, "archiefdesk", [&](int number, connection& to, const message& request) {
        const auto id = idOf(request);
        const bool isLeft = id.starts_with("leaving");
        if (isLeft && elapsed() > closedAt + 0.5) {
            ++late;
            record::line(
                "backend i-%d: %s arrives %.3f s after its client has left", number, id.c_str(), elapsed() - closedAt);
        }
        const auto until = clock_type::now() + work;
        while (clock_type::now() < until) {
            sleepFor(10ms);
            if (to.isClosed()) {
                ended += isLeft ? 1 : 0;
                record::line("backend i-%d: drops %s", number, id.c_str());
                return;
            }
        }
        if (isLeft && elapsed() > closedAt + 0.5) {
            ++workedOn;
            record::line("backend i-%d: has worked on %s until %.3f s after its client has left", number, id.c_str(),
                elapsed() - closedAt);
        }
        to.send(answer(200, played.backends[static_cast<std::size_t>(number)]->headers(request), "done"));
    });
    played.startGateways(2);
    std::atomic<bool> stopped { false };
    std::vector<std::thread> staying;
    for (int number = 0; number < stayingClients; ++number) {
        staying.emplace_back([&, number] {
            auto kept = played.gateways[static_cast<std::size_t>(number) % 2]->connect();
            for (int round = 0; kept && !stopped; ++round) {
                const auto id = "staying-" + std::to_string(number) + "-" + std::to_string(round);
                kept->send(request("GET", "x.example", "/jobs/" + id, id, 10000));
                if (!kept->read(12s).complete)
                    kept = played.gateways[static_cast<std::size_t>(number) % 2]->connect();
            }
        });
    }
    sleepFor(500ms);
    std::vector<std::unique_ptr<connection>> kept;
    for (int number = 0; number < leavingClients; ++number) {
        kept.push_back(played.gateways[static_cast<std::size_t>(number) % 2]->connect());
        std::string all;
        for (int place = 0; place < perConnection; ++place) {
            const auto id = "leaving-" + std::to_string(number) + "-" + std::to_string(place);
            all += request("GET", "x.example", "/jobs/" + id, id, 10000);
        }
        kept.back()->send(all);
    }
    sleepFor(700ms);
    if (trouble) {
        closedAt = elapsed();
        kept.clear();
        record::line("4 of 14 clients: have closed their connections");
    } else {
        std::vector<std::thread> readers;
        for (const auto& from : kept) {
            readers.emplace_back([&from] {
                for (int place = 0; place < perConnection; ++place)
                    (void)from->read(12s);
            });
        }
        for (auto& reader : readers)
            reader.join();
    }
    sleepFor(6000ms);
    stopped = true;
    for (auto& client : staying)
        client.join();
    const int wouldHaveLasted = ended + workedOn;
    played.finish(workedOn * 4 > wouldHaveLasted || late > 3,
        std::to_string(workedOn) + " of " + std::to_string(wouldHaveLasted)
            + " requests were still worked on half a second after their clients had left (a quarter is allowed); "
            + std::to_string(late) + " reached a backend later than that");
}

/// Sends requests of one route to each gateway until a time; counts those sent later than config-apply after the ack of
/// the second version that are still run by the service of the first one.
[[noreturn]] void checkMove(deployment& played, double ackedAt)
{
    std::vector<std::thread> clients;
    std::atomic<int> sent { 0 };
    std::atomic<int> ranOld { 0 };
    std::atomic<double> latest { 0 };
    const auto until = clock_type::now() + 8s;
    for (std::size_t number = 0; number < played.gateways.size(); ++number) {
        clients.emplace_back([&, number] {
            for (int round = 0; clock_type::now() < until; ++round) {
                const auto to = played.gateways[number]->connect();
                const auto id = "m" + std::to_string(number) + "-" + std::to_string(round);
                const double at = elapsed();
                if (!to || !to->send(request("GET", "x.example", "/jobs/x", id, 2500)))
                    cannotRun("cannot connect to a gateway");
                const auto read = to->read(4s);
                if (at > ackedAt + 2.0) {
                    ++sent;
                    if (read.body == "old") {
                        ++ranOld;
                        latest = std::max(latest.load(), at - ackedAt);
                        record::line("%s: request %s, sent %.3f s after the ack, is run by the old service",
                            played.gateways[number]->name().c_str(), id.c_str(), at - ackedAt);
                    }
                }
                sleepFor(50ms);
            }
        });
    }
    for (auto& client : clients)
        client.join();
    char summary[200];
    std::snprintf(summary, sizeof summary,
        "%d of %d requests sent later than config-apply (2 s) after the ack of a version were run by the old service, "
        "the "
        "last one %.3f s after it",
        ranOld.load(), sent.load(), latest.load());
    played.finish(ranOld > 0, summary);
}

/// The settings file names another address of the store, without a signal; the old address is given up later.
[[noreturn]] void playMovedStore(deployment& played, bool trouble)
{
    const auto config = [](int version, const char* service) {
        return configuration(version,
            { { "x.example", "/jobs/", service, true, "1200ms", "600ms", 2 }, { "y.example", "/jobs/", "old", true },
                { "z.example", "/jobs/", "new", true } });
    };
    played.platform.put("op/config", config(1, "old"));
    for (int number = 0; number < 6; ++number) {
        const std::string service = number < 3 ? "old" : "new";
        played.backends.push_back(std::make_unique<backend>(addressOf(10 + number), "i-" + std::to_string(number),
            service, [&played, number, service](connection& to, const message& request) {
                to.send(answer(200, played.backends[static_cast<std::size_t>(number)]->headers(request), service));
            }));
        played.platform.put("servers/" + played.backends.back()->id, played.backends.back()->entry("midden-a"));
    }
    played.startGateways(3);
    if (trouble) {
        const auto moved = played.platform.addAddress(addressOf(2));
        for (const auto& changed : played.gateways)
            changed->moveStore(moved);
        sleepFor(10000ms);
        played.platform.closeFirstAddress();
    }
    sleepFor(10000ms);
    played.platform.put("op/config", config(2, "new"));
    checkMove(played, elapsed());
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
        cannotRun("usage: standins CASE PROGRAM RECORD_FOLDER TEMPORARY_FOLDER");
    (void)std::signal(SIGPIPE, SIG_IGN);
    const std::string name = argv[1];
    record::open(std::string(argv[3]) + "/record.txt");
    const char* const setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string_view(setting) != "0";
    record::line("case %s, %s the disruption", name.c_str(), trouble ? "with" : "without");
    deployment played;
    played.where = { argv[2], argv[4] };
    if (name == "unframed")
        playUnframed(played, trouble);
    if (name == "slow-reader")
        playSlowReader(played, trouble);
    if (name == "lapsed")
        playLapsed(played, trouble);
    if (name == "left-pipeline")
        playLeftPipeline(played, trouble);
    if (name == "moved-store")
        playMovedStore(played, trouble);
    cannotRun("no case " + name);
}
