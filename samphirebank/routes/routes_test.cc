#include "samphirebank/routes/routes.h"

#include <doctest/doctest.h>

#include "samphirebank/wire/wire.h"

namespace samphirebank::routes {
namespace {

Route MakeRoute(const std::string& id, const std::string& prefix) {
  return {.id = RouteId(id),
          .host = "shop.example",
          .path_prefix = prefix,
          .timeout = Milliseconds(1000),
          .shares = {{.service = ServiceId("a"), .weight = 1}}};
}

RouteTable SmallTable() {
  return {
      .version = TableVersion(3),
      .routes = {MakeRoute("r1", "/board/"), MakeRoute("r2", "/"),
                 MakeRoute("r3", "/board/7/")},
      .services = {{.id = ServiceId("a")}, {.id = ServiceId("b")}},
      .organisations = {{.id = OrganisationId("x"), .api_keys = {"k1", "k2"}},
                        {.id = OrganisationId("y"), .api_keys = {"k3"}}}};
}

TEST_CASE("a path is matched to the longest prefix of its host") {
  const RouteIndex index = BuildIndex(SmallTable());
  CHECK(FindRoute(index, "shop.example", "/board/7/x")->id == RouteId("r3"));
  CHECK(FindRoute(index, "shop.example", "/board/7")->id == RouteId("r1"));
  CHECK(FindRoute(index, "shop.example", "/boards")->id == RouteId("r2"));
  CHECK(FindRoute(index, "other.example", "/board/7/x") == nullptr);
  CHECK(FindRoute(index, "shop.example", "") == nullptr);
}

TEST_CASE("an API key identifies its organisation") {
  const RouteIndex index = BuildIndex(SmallTable());
  CHECK(FindOrganisation(index, "k2")->id == OrganisationId("x"));
  CHECK(FindOrganisation(index, "k4") == nullptr);
}

TEST_CASE("a valid table has no findings") {
  CHECK(Validate(SmallTable()).empty());
}

TEST_CASE("all faults of a table are reported together") {
  RouteTable table = SmallTable();
  table.routes[0].shares[0].service = ServiceId("unknown");
  table.routes[1].shares[0].weight = 0;
  table.routes[2].timeout = Milliseconds(0);
  table.routes.push_back(MakeRoute("r4", "/"));
  table.routes.push_back(MakeRoute("r5", "no-slashes"));
  table.organisations[1].api_keys.push_back("k1");
  CHECK(Validate(table).all().size() == 6);
}

TEST_CASE("services are picked in proportion to their weights") {
  Route route = MakeRoute("r1", "/");
  route.shares = {{.service = ServiceId("a"), .weight = 9},
                  {.service = ServiceId("b"), .weight = 1},
                  {.service = ServiceId("c"), .weight = 0}};
  int picked_b = 0;
  for (uint64_t hash = 0; hash < 1000; ++hash) {
    const ServiceId& service = PickService(route, hash);
    CHECK(service != ServiceId("c"));
    picked_b += service == ServiceId("b") ? 1 : 0;
  }
  CHECK(picked_b == 100);
}

TEST_CASE("a table is equal after encoding and decoding") {
  const RouteTable table = SmallTable();
  const auto decoded =
      wire::DecodeFields<RouteTable>(wire::EncodeFields(table));
  REQUIRE(decoded.has_value());
  CHECK(*decoded == table);
}

}  // namespace
}  // namespace samphirebank::routes
