#include "samphirebank/control/internal/replicated_state.h"

#include <doctest/doctest.h>

namespace samphirebank::control {
namespace {

TEST_CASE("a snapshot holds contracts and claims") {
  ReplicatedState state;
  const contracts::Command command{
      .change = ChangeId("c1"),
      .action = contracts::PutContract{{.organisation = OrganisationId("o")}}};
  const Applied applied = ApplyEntry(state, ContractsEntry(command));
  CHECK(std::holds_alternative<contracts::CommandResult>(applied));
  const Applied claimed = ApplyEntry(
      state, ClaimsEntry(claims::ToCommand(
                 {.id = {.owner = {InstanceId("r"), BootId(1)}, .number = 1},
                  .key = {OrganisationId("o"), ServiceId("s"), "key"},
                  .action = claims::Claim{}},
                 5)));
  REQUIRE(std::holds_alternative<claims::ClaimReply>(claimed));
  CHECK(std::get<claims::ClaimReply>(claimed).decision ==
        claims::Decision::kGranted);
  ReplicatedState copy;
  REQUIRE(DecodeState(EncodeState(state), copy));
  CHECK(copy.contracts == state.contracts);
  CHECK(copy.claims.entries.size() == 1);
}

TEST_CASE("unreadable entries and snapshots change nothing") {
  ReplicatedState state;
  for (const char* entry : {"", "c", "kx", "zzz"}) {
    CHECK(std::holds_alternative<std::monostate>(ApplyEntry(state, entry)));
  }
  CHECK(!DecodeState("x", state));
  CHECK(state.contracts == contracts::Machine());
}

}  // namespace
}  // namespace samphirebank::control
