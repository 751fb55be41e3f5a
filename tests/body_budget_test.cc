#define BOOST_TEST_MODULE body_budget
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/body_budget.h"

namespace boragewinch {
namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024;

struct Fixture {
  BodyBudget budget{BodyBudgetLimits{100, 20, 60, 70}};
  std::vector<BodyBudget::Id> evicted;

  BodyBudget::Id Open(const std::string& address,
                      BodySender sender = BodySender::kPublic) {
    // The hook needs the id, which Open returns.
    auto id = std::make_shared<BodyBudget::Id>(0);
    *id = budget.Open(address, [this, id] { evicted.push_back(*id); });
    budget.SetSender(*id, sender);
    return *id;
  }
};

// Guards against an eviction of a sender that is about to complete its body in
// place of one that has stopped.
BOOST_FIXTURE_TEST_CASE(TheOldestWithoutProgressIsEvicted, Fixture) {
  const auto first = Open("a");
  const auto second = Open("b");
  const auto third = Open("c");
  BOOST_TEST(budget.Resize(first, 40));
  BOOST_TEST(budget.Resize(second, 40));
  budget.Touch(first);
  BOOST_TEST(budget.Resize(third, 10));
  BOOST_REQUIRE(evicted.size() == 1U);
  BOOST_TEST(evicted.front() == second);
  BOOST_TEST(budget.held() == 50U);
  BOOST_TEST(!budget.Resize(second, 1));
  BOOST_TEST(budget.refusals() == 1U);
}

// Guards against a request that is closed while it is being handled: its
// sender could not know whether it was carried out.
BOOST_FIXTURE_TEST_CASE(PinnedConnectionsAreNotEvicted, Fixture) {
  const auto first = Open("a");
  const auto second = Open("b");
  BOOST_TEST(budget.Resize(first, 50));
  budget.SetPinned(first, true);
  BOOST_TEST(!budget.Resize(second, 40));
  BOOST_TEST(evicted.empty());
  BOOST_TEST(budget.held() == 50U);
  budget.SetPinned(first, false);
  BOOST_TEST(budget.Resize(second, 40));
  BOOST_TEST(evicted == std::vector{first});
}

// Guards against one connection or one address that takes the whole budget.
BOOST_FIXTURE_TEST_CASE(SharesBoundConnectionsAndAddresses, Fixture) {
  const auto first = Open("a");
  BOOST_TEST(!budget.Resize(first, 61));
  BOOST_TEST(budget.Resize(first, 60));
  const auto second = Open("a");
  BOOST_TEST(budget.Resize(second, 10));
  const auto other = Open("b");
  BOOST_TEST(budget.Resize(other, 10));
  // The address is over its share, so it evicts its own, not the others.
  budget.Touch(first);
  budget.Touch(second);
  BOOST_TEST(budget.Resize(second, 11));
  BOOST_TEST(evicted == std::vector{first});
}

// Guards against a flood that takes the memory for replication.
BOOST_FIXTURE_TEST_CASE(ReplicationHasItsReserve, Fixture) {
  const auto flood = Open("a");
  const auto more = Open("b");
  BOOST_TEST(budget.Resize(flood, 60));
  budget.SetPinned(flood, true);
  BOOST_TEST(budget.Resize(more, 20));
  budget.SetPinned(more, true);
  const auto refused = Open("c");
  BOOST_TEST(!budget.Resize(refused, 1));
  const auto replica = Open("d", BodySender::kReplication);
  BOOST_TEST(budget.Resize(replica, 20));
  BOOST_TEST(evicted.empty());
  BOOST_TEST(!budget.Resize(replica, 21));
}

// Guards against clients without the secret that close connections between the
// processes, and against messages of peers that find no room beside a flood.
BOOST_FIXTURE_TEST_CASE(PeersEvictClientsAndNotTheReverse, Fixture) {
  const auto peer = Open("a", BodySender::kPeer);
  const auto client = Open("b");
  BOOST_TEST(budget.Resize(peer, 50));
  BOOST_TEST(!budget.Resize(client, 40));
  BOOST_TEST(budget.Resize(client, 30));
  BOOST_TEST(budget.Resize(peer, 60));
  BOOST_TEST(evicted == std::vector{client});
}

// Guards against memory that is never returned, or returned all the time.
BOOST_FIXTURE_TEST_CASE(MemoryIsReturnedOnceItIsFree, Fixture) {
  BodyBudget large(BodyBudgetLimitsFor(0, BodyBudgetUse::kGateway));
  const auto id = large.Open("a", [] {});
  BOOST_TEST(large.Resize(id, 8 * kMebibyte));
  BOOST_TEST(!large.TakeReturnDue());
  large.Close(id);
  BOOST_TEST(large.TakeReturnDue());
  BOOST_TEST(!large.TakeReturnDue());
}

// Guards against limits that refuse what a client may send, on every host of
// the deployments: a heartbeat of 4 MiB that is handled with two copies.
BOOST_AUTO_TEST_CASE(LimitsAdmitTheLargestRequest) {
  constexpr std::size_t kHeartbeat = 3 * 4 * kMebibyte + 64UL * 1024;
  for (const int memory_mb : {0, 64, 160, 256, 260, 384}) {
    for (const auto use :
         {BodyBudgetUse::kGateway, BodyBudgetUse::kScheduler}) {
      const BodyBudgetLimits limits = BodyBudgetLimitsFor(memory_mb, use);
      BOOST_TEST(limits.per_connection >= kHeartbeat);
      BOOST_TEST(limits.per_address >= kHeartbeat);
      BOOST_TEST(limits.total - limits.replication_reserve >= kHeartbeat);
      if (memory_mb > 0)
        BOOST_TEST(limits.total <= memory_mb * kMebibyte / 2);
      if (memory_mb >= 256 && use == BodyBudgetUse::kScheduler)
        BOOST_TEST(limits.replication_reserve == 16 * kMebibyte);
    }
  }
  BOOST_TEST((BodyBudgetLimitsFor(0, BodyBudgetUse::kGateway) ==
              BodyBudgetLimitsFor(160, BodyBudgetUse::kGateway)));
  BOOST_TEST((BodyBudgetLimitsFor(0, BodyBudgetUse::kScheduler) ==
              BodyBudgetLimitsFor(256, BodyBudgetUse::kScheduler)));
}

// Guards against bytes that are counted twice or not released, in any order of
// calls: an ordinary sender, which completes at once, is always served.
BOOST_AUTO_TEST_CASE(RandomCallsKeepTheLimits) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    const BodyBudgetLimits limits{1'000, 200, 400, 600};
    BodyBudget budget(limits);
    struct Client {
      std::size_t bytes = 0;
      BodySender sender = BodySender::kPublic;
      bool pinned = false;
    };
    std::map<BodyBudget::Id, Client> clients;
    const auto sum = [&] {
      std::size_t bytes = 0;
      for (const auto& [id, client] : clients)
        bytes += client.bytes;
      return bytes;
    };
    for (int step = 0; step < 2'000; ++step) {
      if (clients.size() < 3 || random() % 8 == 0) {
        auto id = std::make_shared<BodyBudget::Id>(0);
        *id = budget.Open(std::string(1, static_cast<char>('a' + random() % 3)),
                          [&clients, id] {
                            BOOST_TEST(!clients.at(*id).pinned);
                            clients.erase(*id);
                          });
        Client& client = clients[*id];
        client.sender = static_cast<BodySender>(random() % 3);
        budget.SetSender(*id, client.sender);
        continue;
      }
      const auto chosen = std::next(
          clients.begin(), static_cast<long>(random() % clients.size()));
      const BodyBudget::Id id = chosen->first;
      switch (random() % 4) {
        case 0:
          budget.Close(id);
          clients.erase(id);
          break;
        case 1:
          budget.Touch(id);
          break;
        case 2:
          chosen->second.pinned = random() % 4 == 0;
          budget.SetPinned(id, chosen->second.pinned);
          break;
        default: {
          const std::size_t bytes = random() % 450;
          if (budget.Resize(id, bytes))
            clients.at(id).bytes = bytes;
        }
      }
      BOOST_TEST_REQUIRE(budget.held() == sum(), "seed " << seed);
      BOOST_TEST_REQUIRE(budget.held() <= limits.total, "seed " << seed);
      BOOST_TEST_REQUIRE(budget.connections() == clients.size());
    }
  }
}

}  // namespace
}  // namespace boragewinch
