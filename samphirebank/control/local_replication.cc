#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "samphirebank/control/internal/replication.h"

namespace samphirebank::control {
namespace {

class LocalReplication : public Replication {
 public:
  LocalReplication(InstanceId instance, ReplicationHooks shell)
      : self(std::move(instance)), hooks(std::move(shell)) {}

  void Propose(std::string entry, ProposalDone done) override {
    this->index = this->index.Next();
    done(ProposalResult::kCommitted, this->hooks.apply(entry));
  }
  void Confirm(RoundDone done) override { done(true, net::Loop::Now()); }
  void Replace(const InstanceId&, ReplaceDone done) override {
    done("this instance is the only one");
  }
  void OnMessage(const wire::Opened&) override {}

  bool leads() const override { return true; }
  std::optional<InstanceId> leader() const override { return this->self; }
  Term term() const override { return Term(1); }
  LogIndex last_index() const override { return this->index; }
  std::vector<Voter> voters() const override {
    return {{.instance = this->self, .storage = 0}};
  }

 private:
  InstanceId self;
  ReplicationHooks hooks;
  LogIndex index;
};

}  // namespace

std::unique_ptr<Replication> MakeLocalReplication(net::Loop& loop,
                                                  InstanceId self,
                                                  ReplicationHooks hooks) {
  loop.After(Duration(0), hooks.on_leadership);
  return std::make_unique<LocalReplication>(std::move(self), std::move(hooks));
}

}  // namespace samphirebank::control
