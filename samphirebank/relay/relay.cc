#include "samphirebank/relay/relay.h"
