#include "samphirebank/consensus/consensus.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::consensus {

static_assert(Message::kKind == wire::Kind::kConsensus);

}  // namespace samphirebank::consensus
